package org.plantainshunt.protocol;

import java.util.Map;

/**
 * The load of a serving node, sent along with each answer and refusal. Immutable.
 *
 * @param inFlight calls that the backend server is processing
 * @param queued calls queued at the serving node
 * @param levels admission level by service, 0 to 512; contains the node's own service and the downstream services that
 *     shed load, so a downstream service without an entry admits all calls; empty if unknown
 */
public record LoadReport(int inFlight, int queued, Map<String, Integer> levels) {
    /** Empty report of a node that has not reported its load yet. */
    public static final LoadReport NONE = new LoadReport(0, 0, Map.of());

    /** Copies the levels. */
    public LoadReport {
        levels = Map.copyOf(levels);
    }
}
