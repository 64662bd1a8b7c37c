package org.plantainshunt.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import org.plantainshunt.call.CallReply;
import org.plantainshunt.call.InboundCall;
import org.plantainshunt.protocol.CancelHandle;
import org.plantainshunt.protocol.Header;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.http.Headers;
import ratpack.http.Request;
import ratpack.http.Response;
import ratpack.server.RatpackServer;

/**
 * Takes requests from callers over HTTP and gives each its one reply.
 *
 * <p>Every reply names its numbered result, whether the request ran, and the request's id. Safe for use by any thread.
 */
public final class CallerServer implements AutoCloseable {
    /** The largest number of requests without a reply; more are refused, which bounds the memory they hold. */
    public static final int LARGEST_OPEN_REQUESTS = 2048;

    private static final int LARGEST_HEADERS_BYTES = 8 * 1024;
    private static final int LARGEST_HEADERS_READ_BYTES = 64 * 1024;
    private static final int MILLISECONDS_PER_SECOND = 1000;
    private static final int LARGEST_ID_CHARACTERS = 128;
    private static final byte[] NO_BYTES = {};
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final AttributeKey<Running> RUNNING = AttributeKey.valueOf("plantainshunt-running");

    private final String node;
    private final boolean fromBackendServer;
    private final CallTaker taker;
    private final LongSupplier largestBodyBytes;
    private final LongSupplier clock;
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicReference<Channel> listener = new AtomicReference<>();
    private final RatpackServer server;
    private volatile boolean leaving;

    /**
     * Starts the server.
     *
     * @param address where to listen
     * @param threads the number of event loops
     * @param node the name of the node, for refusals
     * @param fromBackendServer whether the backend server beside the node calls here
     * @param taker takes the calls
     * @param largestBodyBytes the size limit of a request's body, in bytes
     * @param clock a monotonic clock in nanoseconds
     * @throws Exception if the address cannot be bound
     */
    public CallerServer(
            InetSocketAddress address,
            int threads,
            String node,
            boolean fromBackendServer,
            CallTaker taker,
            LongSupplier largestBodyBytes,
            LongSupplier clock)
            throws Exception {
        this.node = node;
        this.fromBackendServer = fromBackendServer;
        this.taker = taker;
        this.largestBodyBytes = largestBodyBytes;
        this.clock = clock;
        this.server = RatpackServer.start(spec -> spec.serverConfig(config -> config.address(address.getAddress())
                        .port(address.getPort())
                        .threads(threads)
                        .development(false)
                        // A stop is planned by the node; the server's own hook would close it with calls in flight.
                        .registerShutdownHook(false)
                        .maxHeaderSize(LARGEST_HEADERS_READ_BYTES))
                .handlers(chain -> chain.all(this::handle)));
    }

    /** Returns the server, whose execution controller the node's HTTP clients share. */
    public RatpackServer server() {
        return server;
    }

    /** Returns the number of requests without a reply. */
    public int openRequests() {
        return open.get();
    }

    /**
     * Refuses new requests from now on and asks callers to close their connections.
     *
     * <p>Requests with a ticket are still passed on, since a refusal could not tell whether an earlier delivery ran.
     */
    public void leave() {
        leaving = true;
    }

    /** Accepts no further connections; those that are open go on. Takes effect if there has been a request. */
    public void stopListening() {
        Channel channel = listener.get();
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void close() throws IOException {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IOException("the server did not stop", e);
        }
    }

    private void handle(Context context) {
        long arrived = clock.getAsLong();
        Request request = context.getRequest();
        if (headerBytes(request.getHeaders()) > LARGEST_HEADERS_BYTES) {
            send(context, requestId(request), refused(ResultCode.HEADER_TOO_LARGE, "over 8 KiB of headers", request));
            return;
        }
        long limit = largestBodyBytes.getAsLong();
        request.getBody(
                        limit,
                        () -> send(
                                context,
                                requestId(request),
                                refused(ResultCode.BODY_TOO_LARGE, "a body of over " + limit + " bytes", request)))
                .then(body -> take(context, body.getBytes(), arrived));
    }

    private void take(Context context, byte[] body, long arrived) {
        Request request = context.getRequest();
        String requestId = requestId(request);
        Optional<InboundCall> parsed = parse(request, requestId, body, arrived);
        if (parsed.isEmpty()) {
            String detail = "expected /SERVICE/KIND and well-formed Plantainshunt headers";
            send(context, requestId, refused(ResultCode.MALFORMED_REQUEST, detail, request));
            return;
        }
        if (leaving && parsed.get().ticket().isEmpty()) {
            send(context, requestId, refused(ResultCode.DRAINING, "the node is stopping", request));
            return;
        }
        if (open.incrementAndGet() > LARGEST_OPEN_REQUESTS) {
            open.decrementAndGet();
            send(context, requestId, refused(ResultCode.NODE_BUSY, "too many requests without a reply", request));
            return;
        }
        Channel channel = context.getDirectChannelAccess().getChannel();
        listener.compareAndSet(null, channel.parent());
        Running running = track(channel);
        // The request counts until its answer has been written, so that a stop cuts no answer.
        context.onClose(outcome -> open.decrementAndGet());
        Promise.<CallReply>async(downstream -> {
                    boolean taken = taker.take(
                            parsed.get(), reply -> downstream.success(reply), handle -> running.handle = handle);
                    if (!taken) {
                        downstream.success(refused(ResultCode.NODE_BUSY, "the ring of decisions is full", request));
                    }
                })
                .then(reply -> {
                    running.handle = null;
                    send(context, requestId, reply);
                });
    }

    /** Watches the channel, so that a caller that goes away cancels its request. */
    private static Running track(Channel channel) {
        Running known = channel.attr(RUNNING).get();
        if (known != null) {
            return known;
        }
        Running running = new Running();
        channel.attr(RUNNING).set(running);
        channel.closeFuture().addListener(closed -> running.cancel());
        return running;
    }

    private Optional<InboundCall> parse(Request request, String requestId, byte[] body, long arrived) {
        String uri = request.getRawUri();
        int question = uri.indexOf('?');
        String path = question < 0 ? uri : uri.substring(0, question);
        String query = question < 0 ? "" : uri.substring(question);
        String[] parts = path.split("/", 4);
        if (parts.length < 3 || !parts[0].isEmpty() || parts[1].isEmpty() || parts[2].isEmpty()) {
            return Optional.empty();
        }
        Headers headers = request.getHeaders();
        OptionalLong deadline;
        int attempt;
        try {
            String deadlineText = headers.get(HeaderNames.DEADLINE);
            deadline = deadlineText == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(deadlineText));
            String attemptText = headers.get(HeaderNames.ATTEMPT);
            attempt = attemptText == null ? 1 : Integer.parseInt(attemptText);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
        if (attempt < 1 || deadline.orElse(0) < 0) {
            return Optional.empty();
        }
        String traceParent = headers.get(HeaderNames.TRACE_PARENT);
        return Optional.of(new InboundCall(
                parts[1],
                parts[2],
                (parts.length > 3 ? "/" + parts[3] : "") + query,
                request.getMethod().getName(),
                passedOn(headers),
                body,
                requestId,
                Optional.ofNullable(headers.get(HeaderNames.TICKET)),
                deadline,
                attempt,
                Optional.ofNullable(headers.get(HeaderNames.CONTEXT)),
                traceParent == null ? "" : traceParent,
                fromBackendServer,
                arrived));
    }

    private static List<Header> passedOn(Headers headers) {
        List<Header> found = new ArrayList<>();
        for (String name : headers.getNames()) {
            if (HeaderNames.passedOn(name)) {
                headers.getAll(name).forEach(value -> found.add(new Header(name, value)));
            }
        }
        return found;
    }

    private static int headerBytes(Headers headers) {
        int bytes = 0;
        for (String name : headers.getNames()) {
            for (String value : headers.getAll(name)) {
                bytes += name.length() + value.length();
            }
        }
        return bytes;
    }

    private static String requestId(Request request) {
        String given = request.getHeaders().get(HeaderNames.REQUEST_ID);
        if (given != null && !given.isBlank() && given.length() <= LARGEST_ID_CHARACTERS) {
            return given;
        }
        return UUID.randomUUID().toString();
    }

    private static CallReply refused(ResultCode code, String detail, Request request) {
        // A request that carries a ticket may have run through another node, so this node cannot say "not run".
        boolean withTicket = request.getHeaders().contains(HeaderNames.TICKET);
        boolean keep = !withTicket || code.runState() != RunState.NOT_RUN;
        Refusal refusal = keep
                ? Refusal.of(code, detail)
                : Refusal.of(ResultCode.OUTCOME_UNKNOWN, "this delivery was refused: " + code.number() + " " + detail);
        return new CallReply(
                refusal.code(),
                code.httpStatus(),
                List.of(),
                NO_BYTES,
                Optional.of(refusal),
                Optional.ofNullable(request.getHeaders().get(HeaderNames.TICKET)),
                0);
    }

    private void send(Context context, String requestId, CallReply reply) {
        Response response = context.getResponse();
        response.status(reply.status());
        reply.headers().forEach(header -> response.getHeaders().add(header.name(), header.value()));
        response.getHeaders()
                .set(HeaderNames.RESULT, Integer.toString(reply.code().number()))
                .set(HeaderNames.RUN, reply.code().runState().label())
                .set(HeaderNames.REQUEST_ID, requestId);
        if (leaving) {
            response.getHeaders().set("Connection", "close");
        }
        reply.ticket().ifPresent(ticket -> response.getHeaders().set(HeaderNames.TICKET, ticket));
        if (reply.refusal().isEmpty()) {
            response.send(reply.body());
            return;
        }
        Refusal refusal = reply.refusal().get();
        if (refusal.retryAfterMilliseconds() > 0) {
            long seconds = (refusal.retryAfterMilliseconds() + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND;
            response.getHeaders().set(HeaderNames.RETRY_AFTER, Long.toString(seconds));
        }
        response.send("application/json", describe(requestId, refusal));
    }

    private byte[] describe(String requestId, Refusal refusal) {
        ObjectNode json = MAPPER.createObjectNode()
                .put("code", refusal.code().number())
                .put("name", refusal.code().name())
                .put("run", refusal.code().runState().label())
                .put("explanation", refusal.code().explanation())
                .put("detail", refusal.detail())
                .put("retryAfterMilliseconds", refusal.retryAfterMilliseconds())
                .put("requestId", requestId)
                .put("node", node);
        try {
            return MAPPER.writeValueAsBytes(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of plain values cannot be written", e);
        }
    }

    /** The request that a connection has without a reply, if any. */
    private static final class Running {
        private volatile CancelHandle handle;

        void cancel() {
            CancelHandle current = handle;
            if (current != null) {
                current.cancel();
            }
        }
    }
}
