package org.plantainshunt.configuration;

import java.time.Duration;
import java.util.List;

/**
 * A kind of request that a service takes.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param service the service
 * @param name the name of the kind, unique within the service
 * @param priorityClass the class of a request that enters the system with this kind
 * @param atMostOnce whether a repeat would do harm, so that a ticket is needed
 * @param deadline the longest time for a whole answer, at most 30 s
 * @param calls the calls that the backend server may make for one request
 */
public record Kind(
        String service,
        String name,
        PriorityClass priorityClass,
        boolean atMostOnce,
        Duration deadline,
        List<Outcall> calls) {
    /** Copies the list of calls. */
    public Kind {
        calls = List.copyOf(calls);
    }
}
