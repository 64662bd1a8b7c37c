package org.plantainshunt.routing;

import java.util.concurrent.TimeUnit;

/**
 * The growth of a backend server's share of the calls after a cold start or after a slow time.
 *
 * <p>Confined to one thread.
 */
final class Ramp {
    /** The share at the beginning. */
    private static final double FIRST_SHARE = 0.1;

    /** The time from a cold start to the full share, in nanoseconds. */
    private static final long COLD = TimeUnit.SECONDS.toNanos(10);

    /** The time from the end of a slow time to the full share, in nanoseconds; the server is warm then. */
    private static final long RECOVERED = TimeUnit.SECONDS.toNanos(2);

    private long startedAt;
    private long duration;

    /** Starts the growth after a cold start, at a time in nanoseconds. */
    void start(long now) {
        startedAt = now;
        duration = COLD;
    }

    /** Returns whether the growth after a cold start goes on. */
    boolean cold(long now) {
        return duration == COLD && now - startedAt < COLD;
    }

    /** Starts the growth after a slow time, at a time in nanoseconds; a cold start that lasts longer stays. */
    void recovered(long now) {
        if (startedAt + duration < now + RECOVERED) {
            startedAt = now;
            duration = RECOVERED;
        }
    }

    /** Returns the share, 0.1 to 1. */
    double share(long now) {
        if (duration == 0 || now - startedAt >= duration) {
            return 1;
        }
        return FIRST_SHARE + (1 - FIRST_SHARE) * Math.max(0, now - startedAt) / duration;
    }
}
