package org.plantainshunt.telemetry;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;

/**
 * Limits the rate of log lines of one kind; lines over the limit are dropped and counted. Safe for use by any thread.
 */
final class LineBudget {
    /** Enough to log every failure of a lightly loaded node and a sample of those of an overloaded one. */
    private static final int LINES_PER_SECOND = 100;

    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Counter dropped;
    private long second = Long.MIN_VALUE;
    private int used;

    LineBudget(Counter dropped) {
        this.dropped = dropped;
    }

    /** Returns whether a line may be written; {@code now} is in nanoseconds. */
    synchronized boolean take(long now) {
        long current = Math.floorDiv(now, SECOND);
        if (current != second) {
            second = current;
            used = 0;
        }
        if (used >= LINES_PER_SECOND) {
            dropped.inc();
            return false;
        }
        used++;
        return true;
    }
}
