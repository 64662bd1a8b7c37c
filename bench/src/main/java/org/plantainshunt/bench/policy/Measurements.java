package org.plantainshunt.bench.policy;

import java.util.EnumMap;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;

/**
 * The results of one run as seen by its callers, by second and priority class.
 *
 * <p>A request counts once, however often its caller repeats it. Short work is all requests but the stragglers.
 * Confined to one thread.
 */
final class Measurements {
    private static final int CLASSES = PriorityClass.values().length;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final int measuredFrom;
    private final int seconds;
    private final long[][] sent;
    private final long[][] completed;
    private final long[][] refusals;
    private final long[] goodBySecond;
    private final Map<PriorityClass, Map<ResultCode, Long>> failures = new EnumMap<>(PriorityClass.class);
    private final Map<PriorityClass, Map<ResultCode, Long>> downstreamFailures = new EnumMap<>(PriorityClass.class);
    private final Histogram latency = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram stragglerLatency = new Histogram(SIGNIFICANT_DIGITS);
    private long received;
    private long retries;
    private int maxRetries;
    private long shortSent;
    private long linkBytes;
    private long busierLinkBytes;

    Measurements(int seconds, int measuredFrom) {
        this.seconds = seconds;
        this.measuredFrom = measuredFrom;
        sent = new long[CLASSES][seconds + 1];
        completed = new long[CLASSES][seconds + 1];
        refusals = new long[CLASSES][seconds + 1];
        goodBySecond = new long[seconds + 1];
    }

    /** Counts a new request; repeats by the caller are not counted here. */
    void sent(Request request) {
        sent[request.priorityClass().ordinal()][secondOf(request.sentAt)]++;
        if (isMeasured(request) && !request.straggler) {
            shortSent++;
        }
    }

    /**
     * Counts a complete answer that reached its caller within the deadline of its attempt.
     *
     * <p>It counts as goodput; for the completion by class it counts only within the deadline of the first attempt.
     */
    void completed(Request request, long now) {
        if (now - request.firstSentAt <= request.kindProfile.kind().deadline().toNanos()) {
            completed[request.priorityClass().ordinal()][secondOf(request.firstSentAt)]++;
        }
        goodBySecond[secondOf(now)]++;
        if (isMeasured(request)) {
            (request.straggler ? stragglerLatency : latency).recordValue(now - request.firstSentAt);
        }
    }

    /** Counts a refusal or another failure that reached a caller. */
    void failed(Request request, ResultCode code, long now) {
        count(failures, request, code, now);
        if (code.runState() == RunState.NOT_RUN) {
            refusals[request.priorityClass().ordinal()][secondOf(now)]++;
        }
    }

    /** Counts a failed downstream call of a backend server; the work done before it is wasted. */
    void downstreamCallFailed(Request request, ResultCode code, long now) {
        count(downstreamFailures, request, code, now);
    }

    private void count(Map<PriorityClass, Map<ResultCode, Long>> counts, Request request, ResultCode code, long now) {
        if (now >= measuredFrom * VirtualClock.SECOND) {
            counts.computeIfAbsent(request.priorityClass(), key -> new EnumMap<>(ResultCode.class))
                    .merge(code, 1L, Long::sum);
        }
    }

    /** Counts the retries in the whole call chain of a request that an entry node received. */
    void chainEnded(Request request) {
        received++;
        retries += request.retries();
        maxRetries = Math.max(maxRetries, request.retries());
    }

    /** Sets the bytes sent over the link in each direction. */
    void setLinkBytes(long oneWay, long otherWay) {
        linkBytes = oneWay + otherWay;
        busierLinkBytes = Math.max(oneWay, otherWay);
    }

    /** Returns the complete answers per second over the measured seconds. */
    double goodput() {
        return goodput(measuredFrom, seconds);
    }

    /** Returns the complete answers per second that arrived from {@code from} to before {@code to}, in seconds. */
    double goodput(int from, int to) {
        long sum = 0;
        for (int second = from; second < to; second++) {
            sum += goodBySecond[second];
        }
        return (double) sum / (to - from);
    }

    /** Returns the fraction of the requests of a class, sent from {@code from} to before {@code to}, that completed. */
    double completion(PriorityClass priorityClass, int from, int to) {
        long totalSent = 0;
        long totalCompleted = 0;
        for (int second = from; second < to; second++) {
            totalSent += sent[priorityClass.ordinal()][second];
            totalCompleted += completed[priorityClass.ordinal()][second];
        }
        return totalSent == 0 ? 1 : (double) totalCompleted / totalSent;
    }

    /** Returns the fraction of the critical and important requests that completed. */
    double importantCompletion(int from, int to) {
        long totalSent = 0;
        long totalCompleted = 0;
        for (int ordinal = 0; ordinal <= PriorityClass.IMPORTANT.ordinal(); ordinal++) {
            for (int second = from; second < to; second++) {
                totalSent += sent[ordinal][second];
                totalCompleted += completed[ordinal][second];
            }
        }
        return totalSent == 0 ? 1 : (double) totalCompleted / totalSent;
    }

    /** Returns the number of requests sent from {@code from} to before {@code to}. */
    long sent(PriorityClass priorityClass, int from, int to) {
        return sum(sent, priorityClass, from, to);
    }

    /** Returns the refusals ("not run") that reached callers from {@code from} to before {@code to}. */
    long refusals(PriorityClass priorityClass, int from, int to) {
        return sum(refusals, priorityClass, from, to);
    }

    /** Returns a percentile of the latency of short work, from its first attempt, in nanoseconds. */
    long latency(double percentile) {
        return latency.getValueAtPercentile(percentile);
    }

    /** Returns the fraction of the short requests that completed, at the first attempt or a repeat. */
    double shortCompletion() {
        return shortSent == 0 ? 1 : (double) latency.getTotalCount() / shortSent;
    }

    long stragglersCompleted() {
        return stragglerLatency.getTotalCount();
    }

    /** Returns the failures that reached callers of a class, repeats included, by result code. */
    Map<ResultCode, Long> failures(PriorityClass priorityClass) {
        return Map.copyOf(failures.getOrDefault(priorityClass, Map.of()));
    }

    /** Returns the failed downstream calls for requests of a class, by result code. */
    Map<ResultCode, Long> downstreamFailures(PriorityClass priorityClass) {
        return Map.copyOf(downstreamFailures.getOrDefault(priorityClass, Map.of()));
    }

    double meanRetries() {
        return received == 0 ? 0 : (double) retries / received;
    }

    /** Returns the largest number of retries in the call chain of a received request. */
    int maxRetries() {
        return maxRetries;
    }

    long linkBytes() {
        return linkBytes;
    }

    long busierLinkBytes() {
        return busierLinkBytes;
    }

    int measuredFrom() {
        return measuredFrom;
    }

    int seconds() {
        return seconds;
    }

    /** Returns the number of requests of all classes that were sent in the measured seconds. */
    long measuredRequests() {
        long total = 0;
        for (PriorityClass priorityClass : PriorityClass.values()) {
            total += sent(priorityClass, measuredFrom, seconds);
        }
        return total;
    }

    private long sum(long[][] counts, PriorityClass priorityClass, int from, int to) {
        long total = 0;
        for (int second = from; second < to; second++) {
            total += counts[priorityClass.ordinal()][second];
        }
        return total;
    }

    private boolean isMeasured(Request request) {
        return request.firstSentAt >= measuredFrom * VirtualClock.SECOND;
    }

    private int secondOf(long time) {
        return (int) Math.min(seconds, time / VirtualClock.SECOND);
    }
}
