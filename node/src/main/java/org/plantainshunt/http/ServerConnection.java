package org.plantainshunt.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.plantainshunt.configuration.RequestLimits;
import org.plantainshunt.protocol.CancelHandle;
import org.plantainshunt.protocol.Header;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A caller's connection: reads pipelined requests, and writes their responses in request order.
 *
 * <p>A response that closes the connection is the last one; the requests after it are cancelled. A malformed request
 * closes the connection, because the start of the next request cannot be found. A request is open until its response
 * has been written to the socket, and the socket is closed only by {@link LingeringClose} once there has been a
 * response. Confined to the event loop of the connection.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOGGER = LoggerFactory.getLogger(ServerConnection.class);
    /** The number of pending requests at which reading stops; more than any caller pipelines. */
    private static final int MAX_PENDING = 64;

    private static final int BAD_REQUEST = 400;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int BODY_TOO_LARGE = 413;
    private static final int HEADER_TOO_LARGE = 431;

    private final PipelinedServer server;
    private final Deque<Pending> pending = new ArrayDeque<>();
    private ChannelHandlerContext context;
    /** The limits of the current request; those in force at its beginning. */
    private RequestLimits limits;

    private HttpRequest head;
    private ByteArrayOutputStream body;
    private boolean hadRequest;
    private boolean finishing;
    private boolean closing;
    private int unwritten;
    private boolean nextRequestStarted;
    private long lastActive;

    ServerConnection(PipelinedServer server) {
        this.server = server;
        this.limits = server.limits();
    }

    /** Returns a handler that detects the first byte of a request, since the codec buffers incomplete headers. */
    ChannelHandler firstByteDetector() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
                if (head == null && !nextRequestStarted) {
                    nextRequestStarted = true;
                    lastActive = server.now();
                }
                super.channelRead(ctx, message);
            }
        };
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        lastActive = server.now();
        server.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.closed(this);
        if (closing) {
            server.closingEnded();
        }
        cancelPending();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (closing) {
                return;
            }
            if (message instanceof HttpRequest request && !finishing) {
                onRequestHead(request);
            }
            if (message instanceof HttpContent content && head != null) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        updateAutoRead();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            LOGGER.debug("caller connection {} failed: {}", ctx.channel(), cause.toString());
        } else {
            LOGGER.error("caller connection {} failed", ctx.channel(), cause);
        }
        ctx.close();
    }

    /**
     * Refuses a request whose header or next part of the body takes too long, and closes a connection that has been
     * idle, or has been writing one response, for too long. Has no effect while responses are pending.
     *
     * @param now the current time of the monotonic clock, in nanoseconds
     */
    void closeIfTimedOut(long now) {
        if (closing || !pending.isEmpty()) {
            return;
        }
        boolean reading = unwritten == 0 && (head != null || nextRequestStarted);
        if (reading && now - lastActive > limits.headerTime().toNanos()) {
            refuseAndClose(REQUEST_TIMEOUT);
        } else if (!reading && now - lastActive > limits.idleTime().toNanos()) {
            beginClose();
        }
    }

    /**
     * Takes no further request, and closes the connection after the responses to those that have arrived. Has no effect
     * before the first request.
     */
    void finish() {
        if (!hadRequest || closing) {
            return;
        }
        finishing = true;
        if (pending.isEmpty() && head == null) {
            beginClose();
        }
    }

    void closeNow() {
        context.close();
    }

    private void onRequestHead(HttpRequest request) {
        hadRequest = true;
        nextRequestStarted = false;
        lastActive = server.now();
        limits = server.limits();
        Optional<Integer> refused = errorStatus(request);
        if (refused.isPresent()) {
            refuseAndClose(refused.get());
            return;
        }
        head = request;
        body = new ByteArrayOutputStream(0);
        if (HttpUtil.is100ContinueExpected(request) && pending.isEmpty()) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    /** Returns the error status for a request that is malformed, has ambiguous framing or is too large. */
    private Optional<Integer> errorStatus(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
            return Optional.of(tooLong ? HEADER_TOO_LARGE : BAD_REQUEST);
        }
        boolean hasContentLength = request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        boolean hasTransferEncoding = request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (hasContentLength && hasTransferEncoding
                || hasTransferEncoding && !HttpUtil.isTransferEncodingChunked(request)) {
            return Optional.of(BAD_REQUEST);
        }
        if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1
                || !request.uri().startsWith("/")) {
            return Optional.of(BAD_REQUEST);
        }
        return HttpUtil.getContentLength(request, 0L) > limits.bodyBytes()
                ? Optional.of(BODY_TOO_LARGE)
                : Optional.empty();
    }

    private void onContent(HttpContent content) {
        lastActive = server.now();
        if (content.decoderResult().isFailure()) {
            refuseAndClose(BAD_REQUEST);
            return;
        }
        ByteBuf bytes = content.content();
        if (body.size() + bytes.readableBytes() > limits.bodyBytes()) {
            refuseAndClose(BODY_TOO_LARGE);
            return;
        }
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        body.writeBytes(copy);
        if (content instanceof LastHttpContent) {
            dispatch();
        }
    }

    private void dispatch() {
        Pending request = new Pending(HttpUtil.isKeepAlive(head), head.method().equals(HttpMethod.HEAD));
        List<Header> headers = new ArrayList<>(Headers.endToEnd(head.headers()));
        BufferedHttpRequest httpRequest =
                new BufferedHttpRequest(head.method().name(), head.uri(), headers, body.toByteArray(), server.now());
        head = null;
        body = null;
        pending.add(request);
        server.requestOpened();
        updateAutoRead();
        request.cancel =
                server.handler().handle(httpRequest, response -> runOnEventLoop(() -> answered(request, response)));
    }

    private void runOnEventLoop(Runnable action) {
        if (context.channel().eventLoop().inEventLoop()) {
            action.run();
        } else {
            context.channel().eventLoop().execute(action);
        }
    }

    private void answered(Pending request, BufferedHttpResponse response) {
        request.response = Optional.of(response);
        writeInOrder();
    }

    private void writeInOrder() {
        boolean wrote = false;
        while (!closing && !pending.isEmpty() && pending.peekFirst().response.isPresent()) {
            Pending request = pending.removeFirst();
            lastActive = server.now();
            // Requests after this one may have reached a backend server already, so they must get their responses.
            boolean last = !request.keepAlive || (server.draining() || finishing) && pending.isEmpty() && head == null;
            write(request, last);
            wrote = true;
            if (last && !closing) {
                cancelPending();
                beginClose();
            }
        }
        if (wrote) {
            context.flush();
            updateAutoRead();
        }
    }

    /** Closes the connection once the caller has had time to read what was written. */
    private void beginClose() {
        closing = true;
        server.closingStarted();
        LingeringClose.begin(context.channel());
    }

    private void write(Pending request, boolean last) {
        BufferedHttpResponse httpResponse = request.response.orElseThrow();
        ByteBuf content = request.headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(httpResponse.body());
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(httpResponse.status()), content);
        httpResponse.headers().forEach(header -> response.headers().add(header.name(), header.value()));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, httpResponse.body().length);
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        unwritten++;
        ChannelFuture written = context.write(response);
        written.addListener(ended -> {
            unwritten--;
            lastActive = server.now();
            server.requestEnded();
            if (!ended.isSuccess()) {
                writeFailed(ended.cause());
            }
        });
    }

    /** Closes the connection, because a part of the response may be missing, and the next one would take its place. */
    private void writeFailed(Throwable cause) {
        if (closing || !context.channel().isActive()) {
            return;
        }
        LOGGER.warn("closing a caller's connection, a response could not be written: {}", cause.toString());
        closing = true;
        server.closingStarted();
        cancelPending();
        context.close();
    }

    /** Responds after the requests before this one, and then closes the connection. */
    private void refuseAndClose(int status) {
        head = null;
        body = null;
        nextRequestStarted = false;
        Pending request = new Pending(false, false);
        pending.add(request);
        server.requestOpened();
        byte[] text = HttpResponseStatus.valueOf(status).reasonPhrase().getBytes(StandardCharsets.US_ASCII);
        answered(request, new BufferedHttpResponse(status, List.of(), text));
    }

    private void cancelPending() {
        for (Pending request : pending) {
            server.requestEnded();
            if (request.response.isEmpty()) {
                request.cancel.cancel();
            }
        }
        pending.clear();
    }

    /** Pauses reading while the caller reads its responses too slowly or has too many pending requests. */
    private void updateAutoRead() {
        if (closing) {
            return;
        }
        boolean read = context.channel().isWritable() && pending.size() < MAX_PENDING;
        context.channel().config().setAutoRead(read);
    }

    /** A request whose response has not been written. */
    private static final class Pending {
        private final boolean keepAlive;
        private final boolean headOnly;
        private Optional<BufferedHttpResponse> response = Optional.empty();
        private CancelHandle cancel = () -> {};

        Pending(boolean keepAlive, boolean headOnly) {
            this.keepAlive = keepAlive;
            this.headOnly = headOnly;
        }
    }
}
