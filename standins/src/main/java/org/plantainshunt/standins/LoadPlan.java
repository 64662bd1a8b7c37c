package org.plantainshunt.standins;

import java.time.Duration;
import java.util.List;

/**
 * The load that a caller offers, its targets and its duration.
 *
 * <p>Immutable.
 *
 * @param name prefix of the work ids; must differ between callers of one test
 * @param entries the entry nodes; each attempt is sent to a random one
 * @param kinds the kinds of requests with their rates
 * @param shape how the rates vary over time
 * @param warmUp how long load is offered at a rising rate before counting starts
 * @param duration how long load is offered and counted
 * @param seed seed of arrivals, entry nodes and retry backoff
 * @param retryStyle how requests are retried
 * @param attempts maximum number of attempts per request, at least 1; ticket round trips do not count
 * @param outstandingLimit maximum number of outstanding requests; requests beyond it are counted as skipped
 */
public record LoadPlan(
        String name,
        List<Endpoint> entries,
        List<KindLoad> kinds,
        LoadShape shape,
        Duration warmUp,
        Duration duration,
        long seed,
        RetryStyle retryStyle,
        int attempts,
        int outstandingLimit) {
    /** Copies the lists and checks that the plan has an entry node, a kind and at least one attempt. */
    public LoadPlan {
        entries = List.copyOf(entries);
        kinds = List.copyOf(kinds);
        if (entries.isEmpty() || kinds.isEmpty() || attempts < 1) {
            throw new IllegalArgumentException("a load needs an entry node, a kind and at least one attempt");
        }
    }
}
