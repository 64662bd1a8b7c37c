package org.plantainshunt.telemetry;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;

/**
 * Limits the rate of log lines of one kind; lines over the limit are dropped and counted. Safe for use by any thread.
 */
final class LogRateLimiter {
    /** Enough to log every failure of a lightly loaded node and a sample of those of an overloaded one. */
    private static final int LINES_PER_SECOND = 100;

    private static final long NANOSECONDS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Counter dropped;
    private long currentSecond = Long.MIN_VALUE;
    private int linesInSecond;

    LogRateLimiter(Counter dropped) {
        this.dropped = dropped;
    }

    /** Returns whether a line may be written; {@code now} is in nanoseconds. */
    synchronized boolean tryAcquire(long now) {
        long second = Math.floorDiv(now, NANOSECONDS_PER_SECOND);
        if (second != currentSecond) {
            currentSecond = second;
            linesInSecond = 0;
        }
        if (linesInSecond >= LINES_PER_SECOND) {
            dropped.inc();
            return false;
        }
        linesInSecond++;
        return true;
    }
}
