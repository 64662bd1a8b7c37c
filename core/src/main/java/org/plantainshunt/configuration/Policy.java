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
 * @param retryFloor the retries of a node in 10 s, by service and class, that need no first attempts
 * @param borneWaiting the waiting time in a region, as a multiple of the lowest latency, from which calls leave it
 */
public record Policy(
        int retriesPerRequest,
        double retryBudget,
        Duration ticketUseWithin,
        Duration outcomeKeptFor,
        long largestBody,
        long largestAnswer,
        double retryFloor,
        double borneWaiting) {
    /** The usual floor of retries in 10 s. */
    private static final double USUAL_RETRY_FLOOR = 10;

    /** A longer waiting time than this may be more than the skew of the service times alone. */
    private static final double USUAL_BORNE_WAITING = 0.75;

    /** Creates a policy with the usual floor of retries, one a second, and the usual waiting. */
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
                USUAL_RETRY_FLOOR,
                USUAL_BORNE_WAITING);
    }
}
