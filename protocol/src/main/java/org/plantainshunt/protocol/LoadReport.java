package org.plantainshunt.protocol;

import java.util.Map;

/**
 * The load of a serving node, sent along with each answer and refusal. Immutable.
 *
 * @param inFlight calls that the backend server works on
 * @param queued calls that wait at the serving node
 * @param levels admission level by service, 0 to 512; without an entry nothing is known about a service
 */
public record LoadReport(int inFlight, int queued, Map<String, Integer> levels) {
    /** A report without content, for a node that has not reported its load yet. */
    public static final LoadReport NONE = new LoadReport(0, 0, Map.of());

    /** Copies the levels. */
    public LoadReport {
        levels = Map.copyOf(levels);
    }
}
