package org.plantainshunt.http;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.plantainshunt.call.BackendServer.FailureStage;
import org.plantainshunt.protocol.Header;

/**
 * One HTTP connection to the backend server.
 *
 * <p>A response to another request is discarded, and the connection is not reused. Bytes that follow a response or
 * arrive while no request is in flight close the connection, even if they are only the beginning of a message.
 * Confined to the event loop.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");
    /** The idle limit of a connection if the backend server sends no Keep-Alive timeout. */
    private static final long DEFAULT_IDLE_LIMIT_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);
    /**
     * The fraction of the backend server's idle limit after which a connection is no longer reused, because the server
     * may already have closed it.
     */
    private static final double IDLE_LIMIT_FRACTION = 0.6;

    private final BackendConnections pool;
    private final Decoder decoder = new Decoder();
    private ChannelHandlerContext context;
    private Optional<BackendConnections.Exchange> current = Optional.empty();
    private HttpResponse head;
    private boolean matchesRequest;
    private ByteArrayOutputStream body;
    private boolean keepAlive = true;
    private boolean releaseOnReadComplete;
    private long idleSince;
    private long idleLimit = DEFAULT_IDLE_LIMIT_NANOSECONDS;

    BackendConnection(BackendConnections pool) {
        this.pool = pool;
    }

    /** Returns the handlers of the connection's channel, in order. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new HttpRequestEncoder(), new StrayByteDetector(), decoder, this};
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /**
     * Returns whether the connection can be reused for another request.
     *
     * @param now the current time of the monotonic clock, in nanoseconds
     */
    boolean reusable(long now) {
        return keepAlive && context.channel().isActive() && idleFor(now) < idleLimit;
    }

    long idleFor(long now) {
        return now - idleSince;
    }

    void send(BackendConnections.Exchange exchange) {
        current = Optional.of(exchange);
        BufferedHttpRequest httpRequest = exchange.request().httpRequest();
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(httpRequest.method()),
                httpRequest.target(),
                Unpooled.wrappedBuffer(httpRequest.body()));
        for (Header header : httpRequest.headers()) {
            request.headers().add(header.name(), header.value());
        }
        if (httpRequest.body().length > 0 || !httpRequest.method().equals(HttpMethod.GET.name())) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, httpRequest.body().length);
        }
        context.writeAndFlush(request).addListener(written -> {
            if (!written.isSuccess()) {
                // Part of the request may have been sent before the write failed.
                fail(FailureStage.AFTER_SENT, "the request could not be written: " + written.cause());
            }
        });
    }

    /** Returns the connection to the pool. */
    void release() {
        idleSince = pool.now();
        pool.released(this);
    }

    void close() {
        keepAlive = false;
        current = Optional.empty();
        pool.unreserve(this);
        body = null;
        head = null;
        context.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (message instanceof HttpResponse response) {
                onResponseHead(response);
            }
            if (message instanceof HttpContent content && head != null) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!releaseOnReadComplete) {
            return;
        }
        releaseOnReadComplete = false;
        if (keepAlive && context.channel().isActive() && !decoder.hasUndecodedBytes()) {
            release();
        } else {
            close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        boolean answerBegan = head != null || cause instanceof DecoderException;
        fail(answerBegan ? FailureStage.ANSWER_CUT : FailureStage.AFTER_SENT, "the connection failed: " + cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.closed(this, ctx.channel());
        fail(
                head == null ? FailureStage.AFTER_SENT : FailureStage.ANSWER_CUT,
                head == null ? "the connection was closed without an answer" : "the answer broke off");
    }

    private void onResponseHead(HttpResponse response) {
        if (current.isEmpty()) {
            close();
            return;
        }
        if (response.decoderResult().isFailure()) {
            fail(
                    FailureStage.ANSWER_CUT,
                    "not an HTTP answer: " + response.decoderResult().cause());
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        if (!hasKnownEncoding(response)) {
            fail(FailureStage.ANSWER_CUT, "the answer has an unknown transfer encoding");
            return;
        }
        head = response;
        matchesRequest = current.get().request().matchesResponse().test(response(new byte[0]));
        keepAlive = keepAlive && matchesRequest && HttpUtil.isKeepAlive(response);
        body = new ByteArrayOutputStream();
        idleLimit = idleLimit(response);
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail(
                    FailureStage.ANSWER_CUT,
                    "the answer is malformed: " + content.decoderResult().cause());
            return;
        }
        if (matchesRequest) {
            ByteBuf bytes = content.content();
            if (!pool.reserve(this, bytes.readableBytes())) {
                return;
            }
            byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            body.writeBytes(copy);
        }
        if (content instanceof LastHttpContent) {
            onResponseEnd();
        }
    }

    private void onResponseEnd() {
        if (!matchesRequest) {
            // This was a late response to an earlier request; the response to the current one is still to come.
            head = null;
            return;
        }
        BufferedHttpResponse response = response(body.toByteArray());
        BackendConnections.Exchange exchange = current.orElseThrow();
        pool.unreserve(this);
        head = null;
        body = null;
        current = Optional.empty();
        releaseOnReadComplete = true;
        exchange.answered(response);
    }

    private BufferedHttpResponse response(byte[] content) {
        List<Header> headers = Headers.endToEnd(head.headers());
        return new BufferedHttpResponse(head.status().code(), headers, content);
    }

    /** Returns the bytes of the response body that have arrived. */
    int bufferedBytes() {
        return body == null ? 0 : body.size();
    }

    /** Fails the request because its response takes too much memory. */
    void failTooLarge(String detail) {
        fail(FailureStage.ANSWER_TOO_LARGE, detail);
    }

    private void fail(FailureStage stage, String detail) {
        Optional<BackendConnections.Exchange> failing = current;
        close();
        failing.ifPresent(exchange -> exchange.failed(stage, detail));
    }

    private static boolean hasKnownEncoding(HttpResponse response) {
        List<String> encodings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return encodings.isEmpty()
                || encodings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0));
    }

    private static long idleLimit(HttpResponse response) {
        String stated = response.headers().get("Keep-Alive", "");
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(stated);
        if (!matcher.find()) {
            return DEFAULT_IDLE_LIMIT_NANOSECONDS;
        }
        return (long) (IDLE_LIMIT_FRACTION * TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1))));
    }

    /**
     * Decodes responses whose heads pass the check of {@link AnswerHead}, and tells whether bytes are left that do not
     * make a complete message yet.
     */
    private static final class Decoder extends HttpResponseDecoder {
        private boolean headExpected = true;

        boolean hasUndecodedBytes() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
            if (headExpected && !checkHead(buffer)) {
                return;
            }
            int before = out.size();
            super.decode(ctx, buffer, out);
            for (Object message : out.subList(before, out.size())) {
                headExpected = message instanceof LastHttpContent || headExpected && !(message instanceof HttpResponse);
            }
        }

        /** Returns whether a valid head has arrived completely; one that is too long is left to the decoder. */
        private boolean checkHead(ByteBuf buffer) {
            int end = AnswerHead.end(buffer);
            if (end < 0) {
                return buffer.readableBytes() > AnswerHead.MAX_BYTES;
            }
            Optional<String> violation = AnswerHead.violation(buffer, end);
            if (violation.isPresent()) {
                throw new DecoderException("not an HTTP answer: " + violation.get());
            }
            return true;
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new DecoderException("the answer has a length and a transfer encoding");
        }
    }

    /** Closes the connection if bytes arrive while no request is in flight. */
    private final class StrayByteDetector extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            if (current.isEmpty() && !releaseOnReadComplete) {
                ReferenceCountUtil.release(message);
                close();
                return;
            }
            super.channelRead(ctx, message);
        }
    }
}
