package org.plantainshunt.bench.policy;

import java.util.Map;

/**
 * The load report that a node adds to each answer and refusal.
 *
 * <p>Immutable.
 *
 * @param level the admission level, 0 to 512
 * @param inFlight the number of calls at its backend server, including those in the accept queue
 * @param queued the number of calls that wait at the node
 * @param levels the admission levels of downstream services, by service
 */
record NodeReport(int level, int inFlight, int queued, Map<String, Integer> levels) {}
