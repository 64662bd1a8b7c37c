package org.plantainshunt.bench.policy;

import java.util.Map;

/**
 * What a node says about itself with each answer and refusal.
 *
 * <p>Immutable.
 *
 * @param level the admission level, 0 to 512
 * @param inFlight the calls that its backend server runs
 * @param queued the calls that wait at the node
 * @param levels the admission levels of the services deeper in the chain, by service
 */
record NodeReport(int level, int inFlight, int queued, Map<String, Integer> levels) {}
