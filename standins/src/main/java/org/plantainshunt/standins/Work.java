package org.plantainshunt.standins;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One request at a backend server stand-in.
 *
 * <p>A work is given up at most once; giving up wakes the step that it waits in. Safe for use by any thread.
 */
final class Work {
    private final WorkIdentity identity;
    private final long deadlineAt;
    private Runnable wake = () -> {};
    private WorkState stopped;
    private boolean finished;

    /**
     * Creates a work that has not begun.
     *
     * @param deadlineAt the nanosecond of the monotonic clock after which the answer is of no use
     */
    Work(WorkIdentity identity, long deadlineAt) {
        this.identity = identity;
        this.deadlineAt = deadlineAt;
    }

    WorkIdentity identity() {
        return identity;
    }

    long deadlineAt() {
        return deadlineAt;
    }

    /** Returns why the work was given up, if it was. */
    synchronized Optional<WorkState> stopped() {
        return Optional.ofNullable(stopped);
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
            if (stopped == null) {
                wake = wakeOnce;
                return wakeOnce;
            }
        }
        wakeOnce.run();
        return wakeOnce;
    }

    /** Stops the work for a reason, unless it is finished or was stopped before. */
    void giveUp(WorkState reason) {
        Runnable waiting;
        synchronized (this) {
            if (finished || stopped != null) {
                return;
            }
            stopped = reason;
            waiting = wake;
        }
        waiting.run();
    }

    /** Marks the work as finished and returns its last state: the one it was stopped with, or else the given one. */
    synchronized WorkState finish(WorkState state) {
        finished = true;
        return stopped == null ? state : stopped;
    }
}
