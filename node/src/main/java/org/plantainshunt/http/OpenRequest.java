package org.plantainshunt.http;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import org.plantainshunt.protocol.CancelHandle;

/**
 * A request that has not ended.
 *
 * <p>It ends when its response has been written. If the caller disconnects before that, it ends at once, or, if its
 * call has been submitted, with the reply to that call.
 *
 * <p>A connection has at most one, since {@link RequestSequencer} holds back pipelined requests. Thread-safe.
 */
final class OpenRequest {
    private static final AttributeKey<OpenRequest> CURRENT = AttributeKey.valueOf("plantainshunt-running");

    private final Runnable release;
    private final AtomicLong heldBytes;
    private final AtomicBoolean released = new AtomicBoolean();
    private final AtomicLong bytes = new AtomicLong();
    private CancelHandle cancelHandle;
    private boolean disconnected;
    private boolean replied;

    private OpenRequest(Runnable release, AtomicLong heldBytes) {
        this.release = release;
        this.heldBytes = heldBytes;
    }

    /**
     * Begins a request; it is cancelled when the caller disconnects.
     *
     * @param channel the caller's connection
     * @param heldBytes the number of bytes held by all requests of the server
     * @param release runs exactly once, when the request ends
     */
    static OpenRequest begin(Channel channel, AtomicLong heldBytes, Runnable release) {
        OpenRequest request = new OpenRequest(release, heldBytes);
        boolean watched = channel.attr(CURRENT).getAndSet(request) != null;
        if (!watched) {
            channel.closeFuture()
                    .addListener(closed -> channel.attr(CURRENT).get().cancel());
        } else if (!channel.isOpen()) {
            request.cancel();
        }
        return request;
    }

    /** Adds to the number of bytes held by the request. */
    void addHeldBytes(int count) {
        bytes.addAndGet(count);
        heldBytes.addAndGet(count);
    }

    /** Sets the handle that cancels the call; cancels at once if the caller has already disconnected. */
    synchronized void cancelWith(CancelHandle given) {
        if (disconnected) {
            given.cancel();
        } else if (!replied) {
            cancelHandle = given;
        }
    }

    /**
     * Releases the memory of the request once its reply is known; the request stays open until the reply is written.
     *
     * <p>The cancel handle references the call with its body, and a connection may stay idle long after its last
     * request.
     */
    synchronized void replied() {
        heldBytes.addAndGet(-bytes.getAndSet(0));
        cancelHandle = null;
        replied = true;
    }

    /** Ends the request; idempotent. */
    void end() {
        replied();
        if (released.compareAndSet(false, true)) {
            release.run();
        }
    }

    private synchronized void cancel() {
        disconnected = true;
        if (cancelHandle != null) {
            cancelHandle.cancel();
            return;
        }
        // A request with a cancel handle ends with its reply; any other ends here, since it gets no response.
        end();
    }
}
