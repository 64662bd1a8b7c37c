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
 * What a caller saw of its load, by kind and by class.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param seconds how long work was offered
 * @param byKind counts for each kind of request
 * @param byClass counts for each class that occurs, the most important first
 * @param unfinished works that had not ended when the caller stopped waiting
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

    /** Returns the counts of a class, if work of that class was offered. */
    public Optional<Counts> of(PriorityClass priorityClass) {
        return byClass.stream()
                .filter(counts -> counts.priorityClass() == priorityClass)
                .findFirst();
    }

    /** Returns the number of whole answers within the deadline that came in each second, over all classes. */
    public Map<Integer, Long> goodputBySecond() {
        Map<Integer, Long> sum = new TreeMap<>();
        byClass.forEach(
                counts -> counts.wholeBySecond().forEach((second, count) -> sum.merge(second, count, Long::sum)));
        return sum;
    }

    /** Returns the number of works that were due in each second, over all classes. */
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
     * Counts of one kind or class.
     *
     * @param name the kind as SERVICE/KIND, or the class
     * @param priorityClass the class
     * @param offered works that were due and begun
     * @param skipped works that were due while too many were outstanding
     * @param outcomes works by outcome
     * @param notRunCodes works that did not run, by the last result code; 0 stands for a failed connection
     * @param unknownCodes works with an unknown outcome, by the last result code; 0 stands for no answer
     * @param failedCalls works that failed, by the call of the backend server that failed and its result code
     * @param attempts attempts in total
     * @param ticketRounds answers that only asked for a ticket
     * @param mostAttempts the most attempts for one work
     * @param p50Milliseconds median latency of whole answers, in milliseconds from the time the work was due
     * @param p99Milliseconds 99th percentile of the same
     * @param p999Milliseconds 99.9th percentile of the same
     * @param offeredBySecond works begun, by the second in which they were due
     * @param wholeBySecond whole answers within the deadline, by the second in which they came
     */
    public record Counts(
            String name,
            PriorityClass priorityClass,
            long offered,
            long skipped,
            Map<WorkOutcome, Long> outcomes,
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
        /** Returns the number of works with an outcome. */
        public long count(WorkOutcome outcome) {
            return outcomes.getOrDefault(outcome, 0L);
        }

        /** Returns the repeats for one work on average; ticket round trips do not count. */
        @JsonIgnore
        public double retriesPerRequest() {
            long ended = outcomes.values().stream().mapToLong(Long::longValue).sum();
            return ended == 0 ? 0 : (double) (attempts - ended) / ended;
        }
    }
}
