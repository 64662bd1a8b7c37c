package org.plantainshunt.routing;

import java.util.concurrent.TimeUnit;

/**
 * The rate at which this node opens connections.
 *
 * <p>After a restart or a healed partition all nodes connect at once; a connection costs both ends about 1 ms, so that
 * a storm of them delays the work. Confined to one thread.
 */
public final class ConnectionPacing {
    /** The connections that a node opens a second; also the most that it opens at once after a pause. */
    private static final long PER_SECOND = 50;

    private static final long INTERVAL = TimeUnit.SECONDS.toNanos(1) / PER_SECOND;

    private long earliest = Long.MIN_VALUE / 2;

    /**
     * Takes room for a connection.
     *
     * @param now the time in nanoseconds
     * @return whether the connection may be opened now
     */
    public boolean tryOpen(long now) {
        earliest = Math.max(earliest, now - PER_SECOND * INTERVAL);
        if (earliest + INTERVAL > now) {
            return false;
        }
        earliest += INTERVAL;
        return true;
    }
}
