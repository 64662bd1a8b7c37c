package org.plantainshunt.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * The availability of one VM: whether it is leaving, and whether connections to it fail.
 *
 * <p>Invariant: an incarnation that was once reported as leaving never counts as serving again, whatever it or the VM
 * list reports later. Incarnations are random numbers without an order, so the recent ones are kept to recognise late
 * messages. Confined to one thread.
 */
final class VmAvailability {
    /** The number of former incarnations to keep; so many replacements take far longer than any message is delayed. */
    private static final int MAX_FORMER_INCARNATIONS = 8;

    /** The retry delay after a lost connection, in nanoseconds; the next attempt shows whether the VM is up. */
    private static final long LOST_RETRY_DELAY = TimeUnit.MILLISECONDS.toNanos(100);

    /** The retry delay after the first failed connection, in nanoseconds; it doubles with each further failure. */
    private static final long INITIAL_BACKOFF = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long MAX_BACKOFF = TimeUnit.SECONDS.toNanos(5);

    private final Deque<Long> formerIncarnations = new ArrayDeque<>();
    private long incarnation;
    private boolean incarnationKnown;
    private boolean incarnationLeaving;
    private boolean listedLeaving;
    private boolean failing;
    private long retryAt;
    private long backoff;

    /**
     * Records a handshake.
     *
     * @return whether it announced a new incarnation
     */
    boolean connected(long peerIncarnation, boolean draining) {
        if (formerIncarnations.contains(peerIncarnation)) {
            return false;
        }
        failing = false;
        backoff = 0;
        boolean isNew = setIncarnation(peerIncarnation);
        incarnationLeaving = incarnationLeaving || draining;
        return isNew;
    }

    /**
     * Records that an incarnation reports that it is leaving.
     *
     * @return whether the incarnation is new
     */
    boolean draining(long peerIncarnation) {
        if (formerIncarnations.contains(peerIncarnation)) {
            return false;
        }
        boolean isNew = setIncarnation(peerIncarnation);
        incarnationLeaving = true;
        return isNew;
    }

    /**
     * Records the state in the VM list.
     *
     * <p>The incarnation that is known when the list first reports leaving counts as leaving from then on. One that
     * connects later is the replacement, which an outdated list may still report as leaving.
     */
    void listed(boolean leaving) {
        incarnationLeaving = incarnationLeaving || leaving && !listedLeaving && incarnationKnown;
        listedLeaving = leaving;
    }

    void lost(long now) {
        if (!failing) {
            failing = true;
            retryAt = now + LOST_RETRY_DELAY;
        }
    }

    void connectFailed(long now) {
        failing = true;
        backoff = backoff == 0 ? INITIAL_BACKOFF : Math.min(MAX_BACKOFF, 2 * backoff);
        retryAt = now + backoff;
    }

    /** Returns whether new work must not be sent. */
    boolean leaving() {
        return incarnationLeaving || listedLeaving;
    }

    /** Returns whether the last connection failed or was lost and no later one succeeded. */
    boolean failing() {
        return failing;
    }

    /** Returns whether a failing VM may be retried. */
    boolean retryDue(long now) {
        return now - retryAt >= 0;
    }

    private boolean setIncarnation(long peerIncarnation) {
        if (incarnationKnown && peerIncarnation == incarnation) {
            return false;
        }
        if (incarnationKnown) {
            formerIncarnations.addLast(incarnation);
            if (formerIncarnations.size() > MAX_FORMER_INCARNATIONS) {
                formerIncarnations.removeFirst();
            }
        }
        incarnation = peerIncarnation;
        incarnationKnown = true;
        incarnationLeaving = false;
        return true;
    }
}
