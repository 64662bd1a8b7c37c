package org.plantainshunt.http;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Reads the body of a request, with a size limit and a timeout.
 *
 * <p>The size is checked as bytes arrive, since a chunked body has no declared length. Delivers one result, or none if
 * the caller disconnects. Confined to the event loop of the connection.
 */
final class BodyReader implements Subscriber<ByteBuf> {
    private final long maxBytes;
    private final BooleanSupplier withinMemoryLimit;
    private final OpenRequest request;
    private final BiConsumer<byte[], Refusal> listener;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final Future<?> timeout;
    private Subscription subscription;
    private boolean ended;

    /**
     * Creates a reader.
     *
     * @param maxBytes the size limit in bytes
     * @param timeoutNanos the timeout for the whole body
     * @param withinMemoryLimit whether the bodies held by the server are within their total limit
     * @param request counts the bytes held by the request
     * @param listener receives the body, or null and the reason why it was not read
     */
    BodyReader(
            EventLoop eventLoop,
            long maxBytes,
            long timeoutNanos,
            BooleanSupplier withinMemoryLimit,
            OpenRequest request,
            BiConsumer<byte[], Refusal> listener) {
        this.maxBytes = maxBytes;
        this.withinMemoryLimit = withinMemoryLimit;
        this.request = request;
        this.listener = listener;
        this.timeout = eventLoop.schedule(this::timedOut, timeoutNanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void onSubscribe(Subscription given) {
        subscription = given;
        given.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(ByteBuf part) {
        try {
            if (!ended) {
                append(part);
            }
        } finally {
            part.release();
        }
    }

    @Override
    public void onError(Throwable error) {
        // The connection is lost, so there is no caller to respond to.
        ended = true;
        timeout.cancel(false);
    }

    @Override
    public void onComplete() {
        finish(body.toByteArray(), null);
    }

    private void append(ByteBuf part) {
        int count = part.readableBytes();
        if (body.size() + (long) count > maxBytes) {
            refuse(Refusal.of(ResultCode.BODY_TOO_LARGE, "a body of over " + maxBytes + " bytes"));
            return;
        }
        request.addHeldBytes(count);
        if (!withinMemoryLimit.getAsBoolean()) {
            refuse(Refusal.of(ResultCode.NODE_BUSY, "the requests without a reply hold too many bytes"));
            return;
        }
        body.writeBytes(ByteBufUtil.getBytes(part));
    }

    private void timedOut() {
        if (!ended && subscription != null) {
            refuse(Refusal.of(ResultCode.DEADLINE_TOO_SHORT, "the body did not arrive within the deadline"));
        }
    }

    private void refuse(Refusal refusal) {
        subscription.cancel();
        finish(null, refusal);
    }

    private void finish(byte[] bytes, Refusal refusal) {
        if (!ended) {
            ended = true;
            timeout.cancel(false);
            listener.accept(bytes, refusal);
        }
    }
}
