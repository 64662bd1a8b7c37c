package org.plantainshunt.configuration;

import java.time.Duration;

/**
 * The settings that apply to all services.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param retriesPerRequest the number of retries for one request over its whole call chain
 * @param retryBudget the retries of a node as a share of its first attempts, 0 to 1
 * @param ticketUseWithin the time within which an issued ticket may be used
 * @param outcomeKeptFor the time for which the outcome of a ticket is kept after its request ended or the ticket became
 *     void
 * @param largestBody the largest body of a request, in bytes
 * @param largestAnswer the largest body of an answer, in bytes
 * @param retryFloor the retries that a node may always make in 10 s, per service and class, whatever the number of
 *     first attempts
 * @param spilloverWaitMultiple the waiting time in a region, as a multiple of the lowest latency, from which calls go
 *     to other regions
 */
public record Policy(
        int retriesPerRequest,
        double retryBudget,
        Duration ticketUseWithin,
        Duration outcomeKeptFor,
        long largestBody,
        long largestAnswer,
        double retryFloor,
        double spilloverWaitMultiple) {
    /** The default floor of retries in 10 s. */
    private static final double DEFAULT_RETRY_FLOOR = 10;

    /** Waiting times up to this multiple may result from the skew of the service times alone. */
    private static final double DEFAULT_SPILLOVER_WAIT_MULTIPLE = 0.75;

    /** Creates a policy with the default floor of retries, one per second, and the default spillover wait multiple. */
    public Policy(
            int retriesPerRequest,
            double retryBudget,
            Duration ticketUseWithin,
            Duration outcomeKeptFor,
            long largestBody,
            long largestAnswer) {
        this(
                retriesPerRequest,
                retryBudget,
                ticketUseWithin,
                outcomeKeptFor,
                largestBody,
                largestAnswer,
                DEFAULT_RETRY_FLOOR,
                DEFAULT_SPILLOVER_WAIT_MULTIPLE);
    }
}
