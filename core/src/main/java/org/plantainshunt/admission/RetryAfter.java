package org.plantainshunt.admission;

import java.util.SplittableRandom;

/**
 * Computes when a refused caller should retry.
 *
 * <p>The delay is the time that the queue takes to drain, multiplied by the ratio of demand to capacity if that is over
 * 1. Jitter, derived from the id that the serving node gives the call, adds up to the same time again, so that callers
 * refused together do not retry together. Confined to one thread.
 */
final class RetryAfter {
    /** A retry within one window of the admission level would get the same decision. */
    private static final double MIN_MILLISECONDS = 100;

    private static final double MAX_MILLISECONDS = 5_000;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final AdmissionLevel level;

    RetryAfter(AdmissionLevel level) {
        this.level = level;
    }

    /** Returns the milliseconds until a shed call should be retried, 100 to 10,000. */
    long whenOverloaded(CallEntry entry, int waiting) {
        double capacity = Math.max(1, level.capacityPerSecond());
        double drain = waiting * MILLISECONDS_PER_SECOND / capacity;
        double excess = Math.max(1, level.demandPerSecond() / capacity);
        return withJitter(entry, Math.max(MIN_MILLISECONDS, Math.min(MAX_MILLISECONDS, drain * excess)));
    }

    /** Returns the milliseconds until a call may try another backend server, 100 to 200. */
    long forOtherBackendServer(CallEntry entry) {
        return withJitter(entry, MIN_MILLISECONDS);
    }

    private static long withJitter(CallEntry entry, double milliseconds) {
        return Math.round(milliseconds * (1 + new SplittableRandom(Priority.checksum(entry.id())).nextDouble()));
    }
}
