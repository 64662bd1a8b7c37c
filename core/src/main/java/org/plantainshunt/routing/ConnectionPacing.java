package org.plantainshunt.routing;

import java.util.concurrent.TimeUnit;

/**
 * Limits the rate at which this node opens connections.
 *
 * <p>After a restart or a healed partition all nodes connect at once; a connection costs both ends about 1 ms of work,
 * so a connection storm delays calls. Confined to one thread.
 */
public final class ConnectionPacing {
    /** The connections that a node opens per second; also the largest burst after a pause. */
    private static final long CONNECTIONS_PER_SECOND = 50;

    private static final long INTERVAL = TimeUnit.SECONDS.toNanos(1) / CONNECTIONS_PER_SECOND;

    private long permitsUsedUntil = Long.MIN_VALUE / 2;

    /**
     * Acquires a permit for a connection.
     *
     * @param now the time in nanoseconds
     * @return whether the connection may be opened now
     */
    public boolean tryOpen(long now) {
        permitsUsedUntil = Math.max(permitsUsedUntil, now - CONNECTIONS_PER_SECOND * INTERVAL);
        if (permitsUsedUntil + INTERVAL > now) {
            return false;
        }
        permitsUsedUntil += INTERVAL;
        return true;
    }
}
