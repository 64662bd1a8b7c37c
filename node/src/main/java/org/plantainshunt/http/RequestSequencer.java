package org.plantainshunt.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Forwards the requests of a connection one at a time, and responds to those that cannot be decoded.
 *
 * <p>A pipelined request is held back until the response to the previous one has been written, so responses are sent in
 * request order. While requests are held back, nothing more is read from the connection. Confined to the connection's
 * event loop.
 */
final class RequestSequencer extends ChannelDuplexHandler {
    private final Function<Throwable, HttpResponse> decodeErrorResponse;
    private final Deque<Object> held = new ArrayDeque<>();
    private boolean receiving;
    private boolean responsePending;
    private boolean forwarding;
    private boolean readRequested;
    private boolean closing;

    RequestSequencer(Function<Throwable, HttpResponse> decodeErrorResponse) {
        this.decodeErrorResponse = decodeErrorResponse;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        held.add(message);
        forwardHeld(context);
    }

    /** Closes the connection in steps, and drops the requests that have not been forwarded. */
    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        if (!context.channel().isActive()) {
            context.close(promise);
            return;
        }
        closing = true;
        releaseHeld();
        context.channel().closeFuture().addListener(closed -> promise.trySuccess());
        LingeringClose.begin(context.channel());
    }

    @Override
    public void read(ChannelHandlerContext context) {
        if (closing || held.isEmpty()) {
            context.read();
        } else {
            readRequested = true;
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        boolean informational = message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (message instanceof LastHttpContent && !informational) {
            promise.unvoid().addListener(written -> responseWritten(context));
        }
        context.write(message, promise);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        releaseHeld();
        context.fireChannelInactive();
    }

    private void releaseHeld() {
        held.forEach(ReferenceCountUtil::release);
        held.clear();
    }

    private void responseWritten(ChannelHandlerContext context) {
        responsePending = false;
        forwardHeld(context);
        if (held.isEmpty() && readRequested) {
            readRequested = false;
            context.read();
        }
    }

    private void forwardHeld(ChannelHandlerContext context) {
        if (forwarding) {
            return;
        }
        forwarding = true;
        while (!held.isEmpty() && !closing && mayForward(held.peek())) {
            forward(context, held.poll());
        }
        forwarding = false;
    }

    private boolean mayForward(Object message) {
        return !(message instanceof HttpRequest) || !responsePending && !receiving;
    }

    private void forward(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
            Throwable cause = part.decoderResult().cause();
            ReferenceCountUtil.release(message);
            refuse(context, cause);
            return;
        }
        if (message instanceof HttpRequest) {
            responsePending = true;
            receiving = true;
        }
        if (message instanceof LastHttpContent) {
            receiving = false;
        }
        context.fireChannelRead(message);
    }

    /**
     * Responds, unless the response has been written already, and closes the connection, since the start of the next
     * request on it cannot be found any more.
     */
    private void refuse(ChannelHandlerContext context, Throwable cause) {
        closing = true;
        if (receiving && !responsePending) {
            context.channel().close();
            return;
        }
        receiving = false;
        context.writeAndFlush(decodeErrorResponse.apply(cause)).addListener(ChannelFutureListener.CLOSE);
    }
}
