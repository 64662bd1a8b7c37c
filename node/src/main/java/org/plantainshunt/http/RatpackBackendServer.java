package org.plantainshunt.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.handler.codec.DecoderException;
import io.netty.handler.timeout.ReadTimeoutException;
import org.plantainshunt.call.BackendServer;
import org.plantainshunt.protocol.Header;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.http.Headers;
import ratpack.http.client.HttpClient;
import ratpack.http.client.HttpClientReadTimeoutException;
import ratpack.http.client.RequestSpec;
import ratpack.http.client.StreamedResponse;

/**
 * Sends requests to the backend server over HTTP, with Ratpack's client.
 *
 * <p>A request is sent at most once, without retries; a failed connect counts as "not sent", any later failure does
 * not. Responses are read as a stream, because a response that Ratpack aggregates always has a length, even if the
 * server declared none. Thread-safe.
 */
public final class RatpackBackendServer implements BackendServer, AutoCloseable {
    private static final Logger LOGGER = LoggerFactory.getLogger(RatpackBackendServer.class);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    /**
     * How long past its deadline an exchange stays open. A call occupies its slot until its exchange ends, and a
     * cancelled request needs some time to end at the backend server.
     */
    private static final long CANCEL_GRACE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final String baseUri;
    private final ExecController executions;
    private final HttpClient client;
    private final LongSupplier maxResponseBytes;
    private final LongSupplier clock;

    /**
     * Creates the client.
     *
     * @param address the backend server's address
     * @param executions the execution controller that runs the exchanges
     * @param connections the maximum number of open connections
     * @param maxResponseBytes the size limit of a response body, in bytes
     * @param clock a monotonic clock in nanoseconds
     * @throws IOException if the client cannot be set up
     */
    public RatpackBackendServer(
            InetSocketAddress address,
            ExecController executions,
            int connections,
            LongSupplier maxResponseBytes,
            LongSupplier clock)
            throws IOException {
        this.baseUri = "http://" + address.getAddress().getHostAddress() + ":" + address.getPort();
        this.executions = executions;
        this.maxResponseBytes = maxResponseBytes;
        this.clock = clock;
        try {
            this.client = HttpClient.of(spec -> spec.execController(executions)
                    .poolSize(Math.max(1, connections / executions.getNumThreads()))
                    .idleTimeout(IDLE_TIMEOUT)
                    .connectTimeout(CONNECT_TIMEOUT));
        } catch (Exception e) {
            throw new IOException("cannot create the HTTP client for the backend server", e);
        }
    }

    @Override
    public void send(Handover request, Listener listener) {
        executions
                .fork()
                .onError(error -> listener.failed(failureStage(error), describe(error)))
                .start(execution -> exchange(request, listener));
    }

    @Override
    public void cancel(String callId) {
        URI uri = URI.create(baseUri + "/plantainshunt/calls/" + callId);
        executions
                .fork()
                .onError(error -> LOGGER.debug("cannot deliver the cancellation of call {}", callId, error))
                .start(execution -> client.request(uri, spec -> spec.delete().readTimeout(CONNECT_TIMEOUT))
                        .then(response -> {}));
    }

    @Override
    public void close() {
        client.close();
    }

    private void exchange(Handover request, Listener listener) {
        // The process may have been paused since the call was admitted, so the deadline is checked again.
        long left = request.deadline() - clock.getAsLong();
        if (left <= 0) {
            listener.failed(FailureStage.BEFORE_SENT, "the deadline passed before the request was written");
            return;
        }
        URI uri = URI.create(baseUri + "/" + request.kind() + request.path());
        client.requestStream(uri, spec -> configureRequest(spec, request, left))
                .flatMap(response -> collect(request, response))
                .then(collected -> collected.deliverTo(listener));
    }

    private Promise<ResponseCollector.Result> collect(Handover request, StreamedResponse response) {
        int status = response.getStatusCode();
        boolean withoutBody = status == NO_CONTENT
                || status == NOT_MODIFIED
                || request.method().equalsIgnoreCase("HEAD");
        long left = request.deadline() + CANCEL_GRACE_NANOSECONDS - clock.getAsLong();
        return ResponseCollector.collect(
                response, withoutBody, forwardedHeaders(response.getHeaders()), maxResponseBytes.getAsLong(), left);
    }

    private void configureRequest(RequestSpec spec, Handover request, long left) {
        spec.method(request.method())
                .redirects(0)
                .readTimeout(Duration.ofNanos(left + CANCEL_GRACE_NANOSECONDS))
                .decompressResponse(false);
        for (Header header : request.headers()) {
            spec.getHeaders().add(header.name(), header.value());
        }
        spec.getHeaders()
                .set(HeaderNames.REQUEST_ID, request.requestId())
                .set("Plantainshunt-Call", request.callId())
                .set(HeaderNames.CONTEXT, request.context())
                .set(HeaderNames.DEADLINE, Long.toString(TimeUnit.NANOSECONDS.toMillis(left)));
        if (!request.traceParent().isEmpty()) {
            spec.getHeaders().set(HeaderNames.TRACE_PARENT, request.traceParent());
        }
        if (request.body().length > 0) {
            spec.getBody().bytes(request.body());
        }
    }

    private static List<Header> forwardedHeaders(Headers headers) {
        List<Header> forwarded = new ArrayList<>();
        for (String name : headers.getNames()) {
            if (HeaderNames.isForwarded(name) || name.equalsIgnoreCase(HeaderNames.SHED)) {
                headers.getAll(name).forEach(value -> forwarded.add(new Header(name, value)));
            }
        }
        return forwarded;
    }

    static FailureStage failureStage(Throwable error) {
        for (Throwable cause = error; cause != null; cause = cause.getCause()) {
            if (cause instanceof ConnectException) {
                return FailureStage.BEFORE_SENT;
            }
            if (cause instanceof DecoderException) {
                return FailureStage.ANSWER_CUT;
            }
            if (cause instanceof ReadTimeoutException || cause instanceof HttpClientReadTimeoutException) {
                return FailureStage.TIMED_OUT;
            }
        }
        return FailureStage.AFTER_SENT;
    }

    private static String describe(Throwable error) {
        return "the exchange with the backend server failed: " + error;
    }
}
