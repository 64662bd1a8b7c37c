package org.plantainshunt.standins;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.plantainshunt.configuration.PriorityClass;

/**
 * Counts and latencies of one kind of request, or of several kinds together.
 *
 * <p>Latency is measured from the time at which a request was due, not from the time at which it was sent, so that a
 * caller that falls behind does not hide slow responses (coordinated omission). Thread-safe.
 */
public final class RequestStatistics {
    private static final long MAX_LATENCY_MICROSECONDS = 600_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final String name;
    private final PriorityClass priorityClass;
    private final Map<RequestOutcome, Long> outcomes = new EnumMap<>(RequestOutcome.class);
    private final Map<Integer, Long> notRunCodes = new TreeMap<>();
    private final Map<Integer, Long> unknownCodes = new TreeMap<>();
    private final Map<String, Long> failedCalls = new TreeMap<>();
    private final Histogram latencies = new Histogram(MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS);
    private final TreeMap<Integer, Long> wholeBySecond = new TreeMap<>();
    private final TreeMap<Integer, Long> offeredBySecond = new TreeMap<>();
    private long offered;
    private long skipped;
    private long attempts;
    private long ticketRounds;
    private int mostAttempts;

    RequestStatistics(String name, PriorityClass priorityClass) {
        this.name = name;
        this.priorityClass = priorityClass;
    }

    /** Counts a request that is due in the given second since the start of the load. */
    synchronized void offered(int second) {
        offered++;
        offeredBySecond.merge(second, 1L, Long::sum);
    }

    synchronized void skipped() {
        skipped++;
    }

    /** Counts a completed request. */
    synchronized void recordCompletion(Completion completion) {
        outcomes.merge(completion.outcome(), 1L, Long::sum);
        attempts += completion.attempts();
        ticketRounds += completion.ticketRounds();
        mostAttempts = Math.max(mostAttempts, completion.attempts());
        switch (completion.outcome()) {
            case WHOLE -> {
                latencies.recordValue(Math.min(completion.latencyMicroseconds(), MAX_LATENCY_MICROSECONDS));
                wholeBySecond.merge(completion.second(), 1L, Long::sum);
            }
            case LATE -> latencies.recordValue(Math.min(completion.latencyMicroseconds(), MAX_LATENCY_MICROSECONDS));
            case NOT_RUN -> notRunCodes.merge(completion.result(), 1L, Long::sum);
            case UNKNOWN -> unknownCodes.merge(completion.result(), 1L, Long::sum);
            case FAILED -> failedCalls.merge(completion.failedCall(), 1L, Long::sum);
            default -> {}
        }
    }

    /** Adds the counts of other statistics, which must not change during the call. */
    synchronized void add(RequestStatistics other) {
        offered += other.offered;
        skipped += other.skipped;
        attempts += other.attempts;
        ticketRounds += other.ticketRounds;
        mostAttempts = Math.max(mostAttempts, other.mostAttempts);
        other.outcomes.forEach((outcome, count) -> outcomes.merge(outcome, count, Long::sum));
        other.notRunCodes.forEach((code, count) -> notRunCodes.merge(code, count, Long::sum));
        other.unknownCodes.forEach((code, count) -> unknownCodes.merge(code, count, Long::sum));
        other.failedCalls.forEach((call, count) -> failedCalls.merge(call, count, Long::sum));
        other.wholeBySecond.forEach((second, count) -> wholeBySecond.merge(second, count, Long::sum));
        other.offeredBySecond.forEach((second, count) -> offeredBySecond.merge(second, count, Long::sum));
        latencies.add(other.latencies);
    }

    PriorityClass priorityClass() {
        return priorityClass;
    }

    synchronized long count(RequestOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }

    synchronized LoadResult.Counts counts() {
        return new LoadResult.Counts(
                name,
                priorityClass,
                offered,
                skipped,
                new EnumMap<>(outcomes),
                new TreeMap<>(notRunCodes),
                new TreeMap<>(unknownCodes),
                new TreeMap<>(failedCalls),
                attempts,
                ticketRounds,
                mostAttempts,
                latencyMilliseconds(50),
                latencyMilliseconds(99),
                latencyMilliseconds(99.9),
                new TreeMap<>(offeredBySecond),
                new TreeMap<>(wholeBySecond));
    }

    private double latencyMilliseconds(double percentile) {
        return latencies.getValueAtPercentile(percentile) / 1_000.0;
    }

    /**
     * The completion of one request.
     *
     * @param outcome the outcome
     * @param result the result code of the last response; 0 if there was none
     * @param failedCall the failed outbound call of the backend server, or the status and result code of the response
     * @param attempts number of attempts, without ticket round trips
     * @param ticketRounds number of responses that required a ticket
     * @param latencyMicroseconds latency from the time at which the request was due
     * @param second the second in which it ended, since the start of the load
     */
    record Completion(
            RequestOutcome outcome,
            int result,
            String failedCall,
            int attempts,
            int ticketRounds,
            long latencyMicroseconds,
            int second) {}
}
