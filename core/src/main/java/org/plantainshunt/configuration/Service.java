package org.plantainshunt.configuration;

import java.time.Duration;

/**
 * A service and the limits of each of its backend servers.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name the service's name
 * @param slots the number of requests that one backend server runs at a time
 * @param connections the number of connections that one backend server accepts
 * @param queue the number of requests that may wait at one node
 * @param targetQueueDelay the standing delay in the queue that counts as overload
 * @param longWorkShare the share of the slots that long work may hold while short work waits, 0 to 1
 * @param longWorkAfter the multiple of the median service time after which a running request counts as long
 */
public record Service(
        String name,
        int slots,
        int connections,
        int queue,
        Duration targetQueueDelay,
        double longWorkShare,
        int longWorkAfter) {
    /** Returns the service with a different number of slots and its queue scaled in proportion. */
    public Service withSlots(int otherSlots) {
        int otherQueue = (int) Math.max(1, (long) queue * otherSlots / slots);
        return new Service(name, otherSlots, connections, otherQueue, targetQueueDelay, longWorkShare, longWorkAfter);
    }
}
