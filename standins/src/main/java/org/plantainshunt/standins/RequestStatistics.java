package org.plantainshunt.standins;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.plantainshunt.configuration.PriorityClass;

/**
 * Counts the outcomes of one kind of request, or of several kinds together.
 *
 * <p>Latencies run from the time at which the work was due and not from the time at which it was sent, so a caller that
 * falls behind does not hide slow answers (coordinated omission). Safe for use by any thread.
 */
public final class RequestStatistics {
    private static final long MAX_LATENCY_MICROSECONDS = 600_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final String name;
    private final PriorityClass priorityClass;
    private final Map<WorkOutcome, Long> outcomes = new EnumMap<>(WorkOutcome.class);
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

    /** Counts a work that is due in a second, counted from the start of the load. */
    synchronized void offered(int second) {
        offered++;
        offeredBySecond.merge(second, 1L, Long::sum);
    }

    synchronized void skipped() {
        skipped++;
    }

    /** Counts the end of a work; the latency is in microseconds, the second counts from the start of the load. */
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

    /** Adds the counts of another tally, which must not change meanwhile. */
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

    synchronized long count(WorkOutcome outcome) {
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
     * The end of one work.
     *
     * @param outcome how it ended
     * @param result the result code of the last answer; 0 if there was none
     * @param failedCall the call of the backend server that failed, or the status of the answer
     * @param attempts how often it was tried
     * @param ticketRounds how often a ticket was asked for
     * @param latencyMicroseconds from the time it was due to its end
     * @param second when it ended, counted from the start of the load
     */
    record Completion(
            WorkOutcome outcome,
            int result,
            String failedCall,
            int attempts,
            int ticketRounds,
            long latencyMicroseconds,
            int second) {}
}
