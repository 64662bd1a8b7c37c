package org.plantainshunt.standins;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What a backend server stand-in is and how it behaves.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param listen the address to bind
 * @param name the name used in records and answers
 * @param slots how many requests run at the same time
 * @param queue how many requests may wait for a slot
 * @param meanMilliseconds mean service time by kind
 * @param spread how service times vary
 * @param calls the calls that are made for each request
 * @param callAttempts how often each of these calls is tried, from 1
 * @param outbound where calls are sent: the node's outbound address
 * @param seed the seed of all draws
 * @param reportLagMilliseconds how late the health and load endpoints are
 * @param recordLimit how many requests are kept in memory
 * @param recordFile the file that records are appended to
 */
record BackendServerOptions(
        Endpoint listen,
        String name,
        int slots,
        int queue,
        Map<String, Double> meanMilliseconds,
        ServiceTimes.Spread spread,
        List<DeclaredCall> calls,
        int callAttempts,
        Optional<Endpoint> outbound,
        long seed,
        long reportLagMilliseconds,
        int recordLimit,
        Optional<Path> recordFile) {
    BackendServerOptions {
        meanMilliseconds = Map.copyOf(meanMilliseconds);
        calls = List.copyOf(calls);
        if (!calls.isEmpty() && outbound.isEmpty()) {
            throw new IllegalArgumentException("calls need an outbound address");
        }
    }
}
