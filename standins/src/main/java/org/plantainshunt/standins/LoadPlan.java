package org.plantainshunt.standins;

import java.time.Duration;
import java.util.List;

/**
 * What a caller offers, to whom and for how long.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name prefix of the work ids; must differ between callers of one test
 * @param entries the entry nodes, drawn at random for each attempt
 * @param kinds the kinds of requests with their rates
 * @param shape how the rates vary over time
 * @param warmUp how long work is offered before the counts begin, at a rising rate
 * @param duration how long work is offered and counted
 * @param seed the seed of arrivals, entry nodes and pauses
 * @param retryStyle how work is repeated
 * @param attempts the most attempts for one work, from 1; ticket round trips do not count
 * @param outstandingLimit works beyond this number are not offered but counted as skipped
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
    /** Copies the lists and checks that there is something to do. */
    public LoadPlan {
        entries = List.copyOf(entries);
        kinds = List.copyOf(kinds);
        if (entries.isEmpty() || kinds.isEmpty() || attempts < 1) {
            throw new IllegalArgumentException("a load needs an entry node, a kind and at least one attempt");
        }
    }
}
