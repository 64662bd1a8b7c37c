package org.plantainshunt.standins;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A request received by a backend server stand-in.
 *
 * <p>Can be cancelled at most once; this ends the wait that the request is in, if any. Thread-safe.
 */
final class ReceivedRequest {
    private final RequestIdentity identity;
    private final long deadlineAt;
    private Runnable wake = () -> {};
    private RequestState cancelReason;
    private boolean finished;

    /**
     * Creates a request that has not started.
     *
     * @param deadlineAt the {@link System#nanoTime} after which the caller no longer needs the response
     */
    ReceivedRequest(RequestIdentity identity, long deadlineAt) {
        this.identity = identity;
        this.deadlineAt = deadlineAt;
    }

    RequestIdentity identity() {
        return identity;
    }

    long deadlineAt() {
        return deadlineAt;
    }

    /** Returns the state that the request was cancelled with, if it was. */
    synchronized Optional<RequestState> cancelReason() {
        return Optional.ofNullable(cancelReason);
    }

    /**
     * Runs an action once: when the returned runnable is run, or as soon as the request is cancelled.
     *
     * <p>A request has one wait at a time; a later call replaces the action that cancellation runs.
     */
    Runnable waitFor(Runnable action) {
        AtomicBoolean done = new AtomicBoolean();
        Runnable wakeOnce = () -> {
            if (done.compareAndSet(false, true)) {
                action.run();
            }
        };
        synchronized (this) {
            if (cancelReason == null) {
                wake = wakeOnce;
                return wakeOnce;
            }
        }
        wakeOnce.run();
        return wakeOnce;
    }

    /** Cancels the request for a reason, unless it is finished or already cancelled. */
    void cancel(RequestState reason) {
        Runnable onWake;
        synchronized (this) {
            if (finished || cancelReason != null) {
                return;
            }
            cancelReason = reason;
            onWake = wake;
        }
        onWake.run();
    }

    /** Marks the request as finished and returns its final state: the cancel reason, or else the given state. */
    synchronized RequestState finish(RequestState state) {
        finished = true;
        return cancelReason == null ? state : cancelReason;
    }
}
