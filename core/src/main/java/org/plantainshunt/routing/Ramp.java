package org.plantainshunt.routing;

import java.util.concurrent.TimeUnit;

/**
 * The gradual increase of a backend server's share of the calls after a cold start or a slow period (slow start).
 *
 * <p>Confined to one thread.
 */
final class Ramp {
    private static final double INITIAL_SHARE = 0.1;

    /** The time from a cold start to the full share, in nanoseconds. */
    private static final long COLD_START_DURATION = TimeUnit.SECONDS.toNanos(10);

    /** The time from the end of a slow period to the full share, in nanoseconds; shorter, since the server is warm. */
    private static final long RECOVERY_DURATION = TimeUnit.SECONDS.toNanos(2);

    private long startedAt;
    private long duration;

    /** Starts the ramp of a cold start, at a time in nanoseconds. */
    void start(long now) {
        startedAt = now;
        duration = COLD_START_DURATION;
    }

    /** Returns whether the ramp of a cold start is in progress. */
    boolean cold(long now) {
        return duration == COLD_START_DURATION && now - startedAt < COLD_START_DURATION;
    }

    /** Starts the ramp after a slow period, at a time in nanoseconds; a ramp that ends later stays in force. */
    void recovered(long now) {
        if (startedAt + duration < now + RECOVERY_DURATION) {
            startedAt = now;
            duration = RECOVERY_DURATION;
        }
    }

    /** Returns the share, 0.1 to 1. */
    double share(long now) {
        if (duration == 0 || now - startedAt >= duration) {
            return 1;
        }
        return INITIAL_SHARE + (1 - INITIAL_SHARE) * Math.max(0, now - startedAt) / duration;
    }
}
