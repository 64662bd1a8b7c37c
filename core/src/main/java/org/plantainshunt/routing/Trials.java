package org.plantainshunt.routing;

import java.util.concurrent.TimeUnit;

/**
 * The trial calls to a backend server that is slow.
 *
 * <p>Invariant: at most one trial starts in 500 ms and none while another is outstanding. The server counts as slow
 * until three trials in a row are answered in time; a single one may be in time by chance, since service times vary.
 * Confined to one thread.
 */
final class Trials {
    /** The shortest time between two trials, in nanoseconds. */
    private static final long MIN_INTERVAL = TimeUnit.MILLISECONDS.toNanos(500);

    /** The longest time between two trials, in nanoseconds, if there are few other calls. */
    private static final long MAX_INTERVAL = TimeUnit.SECONDS.toNanos(10);

    /** The calls to other servers between two trials, which keeps trials well under one call in a hundred. */
    private static final int CALLS_BETWEEN = 200;

    /** The time after which even a critical call becomes a trial, in nanoseconds: a service may have no other calls. */
    private static final long OVERDUE_AFTER = 4 * MIN_INTERVAL;

    /** The number of trials in a row that must be answered in time. */
    private static final int REQUIRED_SUCCESSES = 3;

    private static final long NO_CALL = Long.MIN_VALUE;

    private boolean slow;
    private long chosenAt;
    private boolean chosen;
    private long trialCall = NO_CALL;
    private int callsSince;
    private int successes;

    boolean slow() {
        return slow;
    }

    void markSlow(long now) {
        slow = true;
        chosenAt = now;
        chosen = false;
        trialCall = NO_CALL;
        callsSince = 0;
        successes = 0;
    }

    void clear() {
        slow = false;
        trialCall = NO_CALL;
        chosen = false;
    }

    /** Counts a call of the service that is sent to another server. */
    void sentElsewhere() {
        callsSince++;
    }

    /** Returns whether a trial may start. */
    boolean due(long now) {
        long waited = now - chosenAt;
        if (trialCall != NO_CALL || waited < MIN_INTERVAL) {
            return false;
        }
        return callsSince >= CALLS_BETWEEN || waited >= MAX_INTERVAL;
    }

    /** Returns whether a trial is due and no call of any class has become one for a while. */
    boolean overdue(long now) {
        return due(now) && now - chosenAt >= OVERDUE_AFTER;
    }

    /** Records that the next call to the server is a trial. */
    void choose(long now) {
        chosen = true;
        chosenAt = now;
        callsSince = 0;
    }

    void started(long callId) {
        if (chosen) {
            chosen = false;
            trialCall = callId;
        }
    }

    /** Records the end of a call and its result if the call was a trial. */
    void ended(long callId, UpstreamEnd end, boolean late, long now) {
        if (callId != trialCall) {
            return;
        }
        trialCall = NO_CALL;
        if (late) {
            successes = 0;
        } else if (end == UpstreamEnd.ANSWERED) {
            successes++;
        }
    }

    /** Returns whether enough trials in a row were answered in time. */
    boolean passed() {
        return successes >= REQUIRED_SUCCESSES;
    }
}
