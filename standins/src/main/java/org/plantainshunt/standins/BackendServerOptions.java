package org.plantainshunt.standins;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Options of a backend server stand-in.
 *
 * <p>Immutable.
 *
 * @param listen the address to bind
 * @param name the name used in records and responses
 * @param slots maximum number of requests that run at the same time
 * @param queue maximum number of requests that wait for a slot
 * @param meanMilliseconds mean service time by kind
 * @param spread how service times vary
 * @param calls the outbound calls made for each request
 * @param callAttempts maximum number of attempts for each call, at least 1
 * @param outbound the node's outbound address, to which calls are sent
 * @param seed seed of the random service times
 * @param reportLagMilliseconds delay until the health and load endpoints show a change
 * @param recordLimit maximum number of request records kept in memory
 * @param recordFile the file that request records are appended to
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
