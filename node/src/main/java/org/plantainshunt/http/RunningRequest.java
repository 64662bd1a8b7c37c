package org.plantainshunt.http;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import org.plantainshunt.protocol.CancelHandle;

/**
 * A request from its first byte to its reply or the end of its connection, whichever comes first.
 *
 * <p>A connection has at most one, since {@link RequestGuard} holds pipelined requests back. Safe for use by any
 * thread.
 */
final class RunningRequest {
    private static final AttributeKey<RunningRequest> CURRENT = AttributeKey.valueOf("plantainshunt-running");

    private final Runnable release;
    private final AtomicLong heldBytes;
    private final AtomicBoolean released = new AtomicBoolean();
    private final AtomicLong bytes = new AtomicLong();
    private CancelHandle handle;
    private boolean gone;

    private RunningRequest(Runnable release, AtomicLong heldBytes) {
        this.release = release;
        this.heldBytes = heldBytes;
    }

    /**
     * Begins a request; a caller that goes away cancels it.
     *
     * @param channel the caller's connection
     * @param heldBytes the bytes that all requests hold
     * @param release runs once at the end
     */
    static RunningRequest begin(Channel channel, AtomicLong heldBytes, Runnable release) {
        RunningRequest request = new RunningRequest(release, heldBytes);
        boolean watched = channel.attr(CURRENT).getAndSet(request) != null;
        if (!watched) {
            channel.closeFuture()
                    .addListener(closed -> channel.attr(CURRENT).get().cancel());
        } else if (!channel.isOpen()) {
            request.cancel();
        }
        return request;
    }

    /** Counts further bytes that the request holds. */
    void hold(int count) {
        bytes.addAndGet(count);
        heldBytes.addAndGet(count);
    }

    /** Takes the handle of the call, which may come after the caller has gone. */
    synchronized void cancelWith(CancelHandle given) {
        if (gone) {
            given.cancel();
        } else if (!released.get()) {
            handle = given;
        }
    }

    /** Ends the request; further calls do nothing. */
    void end() {
        if (released.compareAndSet(false, true)) {
            heldBytes.addAndGet(-bytes.get());
            forgetHandle();
            release.run();
        }
    }

    /** The handle holds the call with its body, and a connection may stay idle for long after its last request. */
    private synchronized void forgetHandle() {
        handle = null;
    }

    private synchronized void cancel() {
        gone = true;
        if (handle != null) {
            handle.cancel();
            return;
        }
        // A request that is with the decisions ends with its reply; before that nothing else would end it.
        end();
    }
}
