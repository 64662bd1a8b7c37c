package org.plantainshunt.standins;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.plantainshunt.configuration.PriorityClass;

/**
 * The results of a load run as seen by the caller, by kind and by priority class.
 *
 * <p>Immutable.
 *
 * @param seconds how long load was offered, without the warm-up
 * @param byKind counts for each kind of request
 * @param byClass counts for each priority class that occurs, highest priority first
 * @param unfinished requests that had not ended when the caller stopped waiting
 */
public record LoadResult(double seconds, List<Counts> byKind, List<Counts> byClass, long unfinished) {
    /** Copies the lists. */
    public LoadResult {
        byKind = List.copyOf(byKind);
        byClass = List.copyOf(byClass);
    }

    static LoadResult of(double seconds, List<RequestStatistics> statistics, long unfinished) {
        Map<PriorityClass, RequestStatistics> classes = new EnumMap<>(PriorityClass.class);
        List<Counts> byKind = new ArrayList<>();
        for (RequestStatistics kind : statistics) {
            classes.computeIfAbsent(kind.priorityClass(), name -> new RequestStatistics(label(name), name))
                    .add(kind);
            byKind.add(kind.counts());
        }
        return new LoadResult(
                seconds,
                byKind,
                classes.values().stream().map(RequestStatistics::counts).toList(),
                unfinished);
    }

    /** Returns the counts of a priority class, if requests of that class were offered. */
    public Optional<Counts> of(PriorityClass priorityClass) {
        return byClass.stream()
                .filter(counts -> counts.priorityClass() == priorityClass)
                .findFirst();
    }

    /** Returns the number of intact responses within the deadline by the second of their arrival, over all classes. */
    public Map<Integer, Long> goodputBySecond() {
        Map<Integer, Long> sum = new TreeMap<>();
        byClass.forEach(
                counts -> counts.wholeBySecond().forEach((second, count) -> sum.merge(second, count, Long::sum)));
        return sum;
    }

    /** Returns the number of requests started by the second in which they were due, over all classes. */
    public Map<Integer, Long> offeredBySecond() {
        Map<Integer, Long> sum = new TreeMap<>();
        byClass.forEach(
                counts -> counts.offeredBySecond().forEach((second, count) -> sum.merge(second, count, Long::sum)));
        return sum;
    }

    private static String label(PriorityClass priorityClass) {
        return priorityClass.name().toLowerCase(Locale.ROOT);
    }

    /**
     * Counts of one kind or priority class.
     *
     * @param name the kind as SERVICE/KIND, or the class
     * @param priorityClass the priority class
     * @param offered requests that were due and started
     * @param skipped requests that were due but not started because too many were outstanding
     * @param outcomes requests by outcome
     * @param notRunCodes requests that did not run, by the last result code; 0 means that the connection failed
     * @param unknownCodes requests with an unknown outcome, by the last result code; 0 means no response
     * @param failedCalls requests that failed, by the failed outbound call of the backend server and its result code,
     *     or else by the status and result code of the response
     * @param attempts total number of attempts; ticket round trips do not count
     * @param ticketRounds responses that only required a ticket
     * @param mostAttempts maximum number of attempts for one request
     * @param p50Milliseconds median latency of intact responses, including late ones, from the time the request was due
     * @param p99Milliseconds 99th percentile of this latency
     * @param p999Milliseconds 99.9th percentile of this latency
     * @param offeredBySecond requests started, by the second in which they were due
     * @param wholeBySecond intact responses within the deadline, by the second in which they arrived
     */
    public record Counts(
            String name,
            PriorityClass priorityClass,
            long offered,
            long skipped,
            Map<RequestOutcome, Long> outcomes,
            Map<Integer, Long> notRunCodes,
            Map<Integer, Long> unknownCodes,
            Map<String, Long> failedCalls,
            long attempts,
            long ticketRounds,
            int mostAttempts,
            double p50Milliseconds,
            double p99Milliseconds,
            double p999Milliseconds,
            Map<Integer, Long> offeredBySecond,
            Map<Integer, Long> wholeBySecond) {
        /** Returns the number of requests with an outcome. */
        public long count(RequestOutcome outcome) {
            return outcomes.getOrDefault(outcome, 0L);
        }

        /** Returns the average number of retries per request; ticket round trips do not count. */
        @JsonIgnore
        public double retriesPerRequest() {
            long ended = outcomes.values().stream().mapToLong(Long::longValue).sum();
            return ended == 0 ? 0 : (double) (attempts - ended) / ended;
        }
    }
}
