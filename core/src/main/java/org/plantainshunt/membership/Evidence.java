package org.plantainshunt.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * What is known about the leaving and the connection of one VM.
 *
 * <p>Invariant: an incarnation that once was seen leaving never counts as serving again, whatever it or the VM list
 * says later. Incarnations are random numbers without an order, so the recent ones are remembered to recognise messages
 * that arrive late. Confined to one thread.
 */
final class Evidence {
    /** The former incarnations that are remembered; a VM is replaced far less often than messages are late. */
    private static final int REMEMBERED = 8;

    /** The time for which a lost connection counts, in nanoseconds; the next connection shows more. */
    private static final long LOST_COUNTS_FOR = TimeUnit.MILLISECONDS.toNanos(100);

    /** The time for which the first failed connection counts, in nanoseconds; each further one counts twice as long. */
    private static final long FAILED_COUNTS_FOR = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long FAILED_COUNTS_AT_MOST = TimeUnit.SECONDS.toNanos(5);

    private final Deque<Long> former = new ArrayDeque<>();
    private long incarnation;
    private boolean greeted;
    private boolean left;
    private boolean listedLeaving;
    private boolean failing;
    private long retryAt;
    private long backoff;

    /**
     * Notes a greeting.
     *
     * @return whether it announced an incarnation that was not known
     */
    boolean greeted(long theirs, boolean draining) {
        if (former.contains(theirs)) {
            return false;
        }
        failing = false;
        backoff = 0;
        boolean fresh = become(theirs);
        left = left || draining;
        return fresh;
    }

    /**
     * Notes that an incarnation says that it is leaving.
     *
     * @return whether the incarnation was not known
     */
    boolean draining(long theirs) {
        if (former.contains(theirs)) {
            return false;
        }
        boolean fresh = become(theirs);
        left = true;
        return fresh;
    }

    /**
     * Notes the state in the VM list.
     *
     * <p>The incarnation that is known when the list begins to say leaving has left for good. One that greets later is
     * the replacement, which a list that lags behind still calls leaving for a while.
     */
    void listed(boolean leaving) {
        left = left || leaving && !listedLeaving && greeted;
        listedLeaving = leaving;
    }

    void lost(long now) {
        if (!failing) {
            failing = true;
            retryAt = now + LOST_COUNTS_FOR;
        }
    }

    void connectFailed(long now) {
        failing = true;
        backoff = backoff == 0 ? FAILED_COUNTS_FOR : Math.min(FAILED_COUNTS_AT_MOST, 2 * backoff);
        retryAt = now + backoff;
    }

    /** Returns whether new work must not be sent. */
    boolean leaving() {
        return left || listedLeaving;
    }

    /** Returns whether the last connection failed and no later one succeeded. */
    boolean failing() {
        return failing;
    }

    /** Returns whether a failing VM may be tried again. */
    boolean retryDue(long now) {
        return now - retryAt >= 0;
    }

    private boolean become(long theirs) {
        if (greeted && theirs == incarnation) {
            return false;
        }
        if (greeted) {
            former.addLast(incarnation);
            if (former.size() > REMEMBERED) {
                former.removeFirst();
            }
        }
        incarnation = theirs;
        greeted = true;
        left = false;
        return true;
    }
}
