package org.plantainshunt.configuration;

import java.time.Duration;

/**
 * The rules that hold for all services.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param retriesPerRequest the number of retries for one request over its whole call chain
 * @param retryBudget the retries of a node as a share of its first attempts, 0 to 1
 * @param ticketUseWithin the time within which an issued ticket may be used
 * @param outcomeKeptFor the time for which the outcome of a ticket is kept after its end
 * @param largestBody the largest body of a request, in bytes
 * @param largestAnswer the largest body of an answer, in bytes
 */
public record Policy(
        int retriesPerRequest,
        double retryBudget,
        Duration ticketUseWithin,
        Duration outcomeKeptFor,
        long largestBody,
        long largestAnswer) {}
