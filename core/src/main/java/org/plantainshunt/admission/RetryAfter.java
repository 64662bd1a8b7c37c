package org.plantainshunt.admission;

import java.util.SplittableRandom;

/**
 * When a refused caller should come again.
 *
 * <p>The time is how long the queue takes to drain, longer in proportion to how far the demand is over the capacity,
 * and spread by the request id over the same time again, so that callers refused together do not return together.
 * Confined to one thread.
 */
final class RetryAfter {
    /** A repeat within one window of the admission level would meet the same decision. */
    private static final double SHORTEST_MILLISECONDS = 100;

    private static final double LONGEST_MILLISECONDS = 5_000;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final AdmissionLevel level;

    RetryAfter(AdmissionLevel level) {
        this.level = level;
    }

    /** Returns the milliseconds until a repeat of a shed call is worth while, 100 to 10,000. */
    long whenOverloaded(CallEntry entry, int waiting) {
        double capacity = Math.max(1, level.capacityPerSecond());
        double drain = waiting * MILLISECONDS_PER_SECOND / capacity;
        double excess = Math.max(1, level.demandPerSecond() / capacity);
        return spread(entry, Math.max(SHORTEST_MILLISECONDS, Math.min(LONGEST_MILLISECONDS, drain * excess)));
    }

    /** Returns the milliseconds until a call may try another backend server, 100 to 200. */
    long atOnce(CallEntry entry) {
        return spread(entry, SHORTEST_MILLISECONDS);
    }

    private static long spread(CallEntry entry, double milliseconds) {
        return Math.round(milliseconds * (1 + new SplittableRandom(Priority.checksum(entry.id())).nextDouble()));
    }
}
