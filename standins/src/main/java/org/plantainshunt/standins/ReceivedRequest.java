package org.plantainshunt.standins;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One request at a backend server stand-in.
 *
 * <p>A work is given up at most once; giving up wakes the step that it waits in. Safe for use by any thread.
 */
final class ReceivedRequest {
    private final RequestIdentity identity;
    private final long deadlineAt;
    private Runnable wake = () -> {};
    private RequestState cancelReason;
    private boolean finished;

    /**
     * Creates a work that has not begun.
     *
     * @param deadlineAt the nanosecond of the monotonic clock after which the answer is of no use
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

    /** Returns why the work was given up, if it was. */
    synchronized Optional<RequestState> cancelReason() {
        return Optional.ofNullable(cancelReason);
    }

    /** Runs an action once: when {@code wakeOnce} is run by the awaited event, or at once when the work is given up. */
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

    /** Stops the work for a reason, unless it is finished or was stopped before. */
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

    /** Marks the work as finished and returns its last state: the one it was stopped with, or else the given one. */
    synchronized RequestState finish(RequestState state) {
        finished = true;
        return cancelReason == null ? state : cancelReason;
    }
}
