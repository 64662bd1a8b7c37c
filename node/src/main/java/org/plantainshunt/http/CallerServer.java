package org.plantainshunt.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.plantainshunt.call.CallReply;
import org.plantainshunt.call.InboundCall;
import org.plantainshunt.protocol.Header;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.http.Headers;
import ratpack.http.Request;
import ratpack.http.Response;
import ratpack.server.RatpackServer;

/**
 * The HTTP server for callers, on Ratpack; sends exactly one reply to each request.
 *
 * <p>The headers of every reply carry the result code, whether the request ran, and the request id. Thread-safe.
 */
public final class CallerServer implements AutoCloseable {
    /** The maximum number of a server's open requests; further ones are refused, which bounds the memory they hold. */
    public static final int MAX_OPEN_REQUESTS = 2048;

    private static final int MAX_HEADER_BYTES = 8 * 1024;
    /**
     * The limit of the HTTP decoder for the path and for the headers. It is larger than the limit of a request, so that
     * most requests over that limit are still decoded and keep their connection when they are refused.
     */
    private static final int MAX_DECODED_HEADER_BYTES = 64 * 1024;

    private static final int MILLISECONDS_PER_SECOND = 1000;
    private static final int MAX_REQUEST_ID_CHARACTERS = 128;
    /** The limit on the bodies of all requests of a server that have no reply yet; the heap of a node is 96 MiB. */
    private static final long MAX_HELD_BYTES = 16L * 1024 * 1024;

    /** The body timeout of a request without a shorter deadline: the longest deadline that a configuration may set. */
    private static final long MAX_BODY_NANOSECONDS = TimeUnit.SECONDS.toNanos(30);

    /** Longer than any call; without it, a caller that never reads its response would keep a request open forever. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    /** The time in which callers can read their last responses and close idle connections when the server closes. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(3);

    /** Disables Ratpack's body limit: {@link BodyReader} enforces the limits and reports which one was exceeded. */
    private static final long UNBOUNDED = Long.MAX_VALUE;

    private static final byte[] NO_BYTES = {};
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String node;
    private final boolean fromBackendServer;
    private final CallSubmitter submitter;
    private final LongSupplier maxBodyBytes;
    private final LongSupplier clock;
    private final BiConsumer<String, Refusal> refusals;
    private final AtomicLong heldBytes = new AtomicLong();
    private final AtomicInteger open = new AtomicInteger();
    private final RatpackServer server;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final InetSocketAddress listenAddress;
    private final AtomicReference<Channel> listeningChannel = new AtomicReference<>();
    private volatile boolean draining;

    /**
     * Starts the server.
     *
     * @param address the address to listen on
     * @param threads the number of event loops
     * @param node the name of the node, which refusals report
     * @param fromBackendServer whether the requests come from the backend server on the node's VM
     * @param submitter accepts the calls
     * @param maxBodyBytes the size limit of a request's body, in bytes
     * @param clock a monotonic clock in nanoseconds
     * @param refusals receives the id and the refusal of each request that is refused before it is submitted
     * @throws Exception if the address cannot be bound
     */
    public CallerServer(
            InetSocketAddress address,
            int threads,
            String node,
            boolean fromBackendServer,
            CallSubmitter submitter,
            LongSupplier maxBodyBytes,
            LongSupplier clock,
            BiConsumer<String, Refusal> refusals)
            throws Exception {
        this.node = node;
        this.fromBackendServer = fromBackendServer;
        this.submitter = submitter;
        this.maxBodyBytes = maxBodyBytes;
        this.clock = clock;
        this.refusals = refusals;
        this.server = RatpackServer.start(spec -> spec.serverConfig(config -> config.address(address.getAddress())
                        .port(address.getPort())
                        .threads(threads)
                        .development(false)
                        // Ratpack's shutdown hook would abort requests in flight at SIGTERM; the node stops its
                        // servers itself.
                        .registerShutdownHook(false)
                        .idleTimeout(IDLE_TIMEOUT)
                        .maxInitialLineLength(MAX_DECODED_HEADER_BYTES)
                        .maxHeaderSize(MAX_DECODED_HEADER_BYTES))
                .handlers(chain -> chain.all(this::handle)));
        this.listenAddress = new InetSocketAddress(address.getAddress(), server.getBindPort());
        HttpPipelineExtension.register(listenAddress, connection -> {
            connections.add(connection);
            return new RequestSequencer(this::decodeErrorResponse);
        });
    }

    /** Returns the server, whose execution controller also runs the node's requests to the backend server. */
    public RatpackServer server() {
        return server;
    }

    /** Returns the number of requests whose response has not been written. */
    public int openRequests() {
        return open.get();
    }

    /** Returns the number of connections that are being closed and whose callers may still read responses. */
    public int closingConnections() {
        return (int) connections.stream().filter(LingeringClose::isClosing).count();
    }

    /**
     * Refuses new requests from now on and asks callers to close their connections.
     *
     * <p>Requests with a ticket are still accepted, since a refusal could not tell whether an earlier delivery ran.
     */
    public void drain() {
        draining = true;
    }

    /** Stops accepting connections and keeps the open ones. Has no effect if there has been no request yet. */
    public void stopListening() {
        Channel channel = listeningChannel.get();
        if (channel != null) {
            AcceptQueueDrainer.drainAndClose(channel);
        }
    }

    @Override
    public void close() throws IOException {
        HttpPipelineExtension.unregister(listenAddress);
        connections.close().awaitUninterruptibly(CLOSE_TIMEOUT.toMillis());
        try {
            server.stop();
        } catch (Exception e) {
            throw new IOException("cannot stop the caller server", e);
        }
    }

    private void handle(Context context) {
        long arrivedAt = clock.getAsLong();
        Request request = context.getRequest();
        String requestId = requestId(request);
        OpenRequest openRequest =
                OpenRequest.begin(context.getDirectChannelAccess().getChannel(), heldBytes, open::decrementAndGet);
        listeningChannel.compareAndSet(
                null, context.getDirectChannelAccess().getChannel().parent());
        // The request is open until its response has been written, so that a shutdown truncates no response.
        context.onClose(outcome -> openRequest.end());
        Optional<Refusal> refusal = refusalBeforeBody(request, open.incrementAndGet());
        if (refusal.isPresent()) {
            refuse(context, openRequest, requestId, refusal.get());
            return;
        }
        Promise.<Body>async(downstream -> request.getBodyStream(UNBOUNDED)
                        .subscribe(bodyReader(context, openRequest, request, downstream)))
                .then(body -> {
                    if (body.refusal() != null) {
                        refuse(context, openRequest, requestId, body.refusal());
                        return;
                    }
                    submit(context, openRequest, requestId, body.bytes(), arrivedAt);
                });
    }

    /** Returns why a request is refused before its body is read, if it is. */
    private Optional<Refusal> refusalBeforeBody(Request request, int openNow) {
        if (openNow > MAX_OPEN_REQUESTS) {
            return Optional.of(Refusal.of(ResultCode.NODE_BUSY, "too many requests without a reply"));
        }
        if (headerBytes(request) > MAX_HEADER_BYTES) {
            return Optional.of(Refusal.of(ResultCode.HEADER_TOO_LARGE, "over 8 KiB of path and headers"));
        }
        long limit = maxBodyBytes.getAsLong();
        if (request.getContentLength() > limit) {
            return Optional.of(Refusal.of(ResultCode.BODY_TOO_LARGE, "a body of over " + limit + " bytes"));
        }
        return Optional.empty();
    }

    private BodyReader bodyReader(
            Context context, OpenRequest openRequest, Request request, Downstream<? super Body> downstream) {
        long time = deadlineMilliseconds(request.getHeaders())
                .map(TimeUnit.MILLISECONDS::toNanos)
                .filter(left -> left < MAX_BODY_NANOSECONDS)
                .orElse(MAX_BODY_NANOSECONDS);
        return new BodyReader(
                context.getDirectChannelAccess().getChannel().eventLoop(),
                maxBodyBytes.getAsLong(),
                time,
                () -> heldBytes.get() <= MAX_HELD_BYTES,
                openRequest,
                (bytes, refusal) -> downstream.success(new Body(bytes, refusal)));
    }

    private void submit(Context context, OpenRequest openRequest, String requestId, byte[] body, long arrivedAt) {
        Request request = context.getRequest();
        Optional<InboundCall> parsed = parse(request, requestId, body, arrivedAt);
        if (parsed.isEmpty()) {
            String detail = "expected /SERVICE/KIND and well-formed Plantainshunt headers";
            refuse(context, openRequest, requestId, Refusal.of(ResultCode.MALFORMED_REQUEST, detail));
            return;
        }
        if (draining && parsed.get().ticket().isEmpty()) {
            refuse(context, openRequest, requestId, Refusal.of(ResultCode.DRAINING, "the node is stopping"));
            return;
        }
        Promise.<Optional<CallReply>>async(downstream -> {
                    boolean submitted = submitter.submit(
                            parsed.get(), reply -> downstream.success(Optional.of(reply)), openRequest::cancelWith);
                    if (!submitted) {
                        downstream.success(Optional.empty());
                    }
                })
                .then(reply -> {
                    if (reply.isEmpty()) {
                        Refusal busy = Refusal.of(ResultCode.NODE_BUSY, "the ring of decisions is full");
                        refuse(context, openRequest, requestId, busy);
                        return;
                    }
                    openRequest.replied();
                    send(context, reply.get());
                    endIfDisconnected(context, openRequest);
                });
    }

    /** Ends a request whose caller has disconnected, since no response is written to it. */
    private static void endIfDisconnected(Context context, OpenRequest openRequest) {
        if (!context.getDirectChannelAccess().getChannel().isOpen()) {
            openRequest.end();
        }
    }

    /** Refuses a request that has not been submitted. */
    private void refuse(Context context, OpenRequest openRequest, String requestId, Refusal refusal) {
        openRequest.replied();
        CallReply reply = refusalReply(requestId, refusal, context.getRequest());
        refusals.accept(requestId, reply.refusal().orElseThrow());
        send(context, reply);
    }

    /** Builds the response to a request that is not valid HTTP, or whose path or headers exceed the decoder's limit. */
    private HttpResponse decodeErrorResponse(Throwable cause) {
        boolean tooLong = cause instanceof TooLongFrameException;
        Refusal refusal = tooLong
                ? Refusal.of(ResultCode.HEADER_TOO_LARGE, "the path or the headers are too long to be read")
                : Refusal.of(ResultCode.MALFORMED_REQUEST, "the request is not valid HTTP");
        String requestId = UUID.randomUUID().toString();
        refusals.accept(requestId, refusal);
        byte[] body = describe(requestId, refusal);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(refusal.code().httpStatus()),
                Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HeaderNames.RESULT, refusal.code().number())
                .set(HeaderNames.RUN, refusal.code().runState().label())
                .set(HeaderNames.REQUEST_ID, requestId)
                .set("Content-Type", "application/json")
                .set("Content-Length", body.length)
                .set("Connection", "close");
        return response;
    }

    private Optional<InboundCall> parse(Request request, String requestId, byte[] body, long arrivedAt) {
        String uri = request.getRawUri();
        int question = uri.indexOf('?');
        String path = question < 0 ? uri : uri.substring(0, question);
        String query = question < 0 ? "" : uri.substring(question);
        String[] parts = path.split("/", 4);
        if (parts.length < 3 || !parts[0].isEmpty() || parts[1].isEmpty() || parts[2].isEmpty()) {
            return Optional.empty();
        }
        Headers headers = request.getHeaders();
        Optional<Long> deadline = deadlineMilliseconds(headers);
        if (headers.contains(HeaderNames.DEADLINE) && deadline.isEmpty()) {
            return Optional.empty();
        }
        Optional<Long> attempt = numericHeader(headers, HeaderNames.ATTEMPT);
        if (headers.contains(HeaderNames.ATTEMPT)
                && attempt.filter(value -> value >= 1).isEmpty()) {
            return Optional.empty();
        }
        String traceParent = headers.get(HeaderNames.TRACE_PARENT);
        return Optional.of(new InboundCall(
                parts[1],
                parts[2],
                (parts.length > 3 ? "/" + parts[3] : "") + query,
                request.getMethod().getName(),
                forwardedHeaders(headers),
                body,
                requestId,
                Optional.ofNullable(headers.get(HeaderNames.TICKET)),
                deadline.map(OptionalLong::of).orElse(OptionalLong.empty()),
                (int) Math.min(Integer.MAX_VALUE, attempt.orElse(1L)),
                Optional.ofNullable(headers.get(HeaderNames.CONTEXT)),
                traceParent == null ? "" : traceParent,
                fromBackendServer,
                arrivedAt));
    }

    private static List<Header> forwardedHeaders(Headers headers) {
        List<Header> forwarded = new ArrayList<>();
        for (String name : headers.getNames()) {
            if (HeaderNames.isForwarded(name)) {
                headers.getAll(name).forEach(value -> forwarded.add(new Header(name, value)));
            }
        }
        return forwarded;
    }

    /** Returns the caller's remaining time in milliseconds, if it sent a valid one. */
    private static Optional<Long> deadlineMilliseconds(Headers headers) {
        return numericHeader(headers, HeaderNames.DEADLINE).filter(value -> value >= 0);
    }

    private static Optional<Long> numericHeader(Headers headers, String name) {
        String text = headers.get(name);
        try {
            return text == null ? Optional.empty() : Optional.of(Long.parseLong(text.trim()));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static int headerBytes(Request request) {
        Headers headers = request.getHeaders();
        int bytes = request.getRawUri().length();
        for (String name : headers.getNames()) {
            for (String value : headers.getAll(name)) {
                bytes += name.length() + value.length();
            }
        }
        return bytes;
    }

    private static String requestId(Request request) {
        String given = request.getHeaders().get(HeaderNames.REQUEST_ID);
        if (given != null && !given.isBlank() && given.length() <= MAX_REQUEST_ID_CHARACTERS) {
            return given;
        }
        return UUID.randomUUID().toString();
    }

    private static CallReply refusalReply(String requestId, Refusal refused, Request request) {
        // A request that carries a ticket may have run through another node, so this node cannot say "not run".
        ResultCode code = refused.code();
        boolean withTicket = request.getHeaders().contains(HeaderNames.TICKET);
        boolean keepCode = !withTicket || code.runState() != RunState.NOT_RUN;
        Refusal refusal = keepCode
                ? refused
                : Refusal.of(
                        ResultCode.OUTCOME_UNKNOWN,
                        "this delivery was refused: " + code.number() + " " + refused.detail());
        return new CallReply(
                requestId,
                refusal.code(),
                code.httpStatus(),
                List.of(),
                NO_BYTES,
                Optional.of(refusal),
                Optional.ofNullable(request.getHeaders().get(HeaderNames.TICKET)),
                0);
    }

    private void send(Context context, CallReply reply) {
        Response response = context.getResponse();
        response.status(reply.status());
        for (Header header : reply.headers()) {
            if (!header.name().equalsIgnoreCase(HeaderNames.SHED)) {
                response.getHeaders().add(header.name(), header.value());
            }
        }
        response.getHeaders()
                .set(HeaderNames.RESULT, Integer.toString(reply.code().number()))
                .set(HeaderNames.RUN, reply.code().runState().label())
                .set(HeaderNames.REQUEST_ID, reply.requestId());
        if (draining) {
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
        response.send("application/json", describe(reply.requestId(), refusal));
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
            throw new IllegalStateException("cannot serialize a refusal to JSON", e);
        }
    }

    /** The body of a request, or null and the reason why it was not read. */
    private record Body(byte[] bytes, Refusal refusal) {}
}
