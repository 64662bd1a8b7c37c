package org.plantainshunt.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import org.plantainshunt.configuration.PriorityClass;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.http.client.HttpClient;

/**
 * Generates open-loop load: requests arrive as a seeded Poisson process, whether or not earlier requests have ended.
 *
 * <p>For example {@code new LoadGenerator(plan, attempt -> {}, progress -> {}).run()}. An instance runs once, on one
 * thread.
 */
public final class LoadGenerator {
    private static final int THREADS = 2;
    private static final int POOL_SIZE = 2_000;
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final double NANOS_PER_SECOND = 1e9;
    /** How long to wait for outstanding requests after the last arrival; deadlines are at most 30 s. */
    private static final Duration COMPLETION_TIMEOUT = Duration.ofSeconds(40);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(10);

    private static final double MIN_WARM_UP_FACTOR = 0.1;

    private final LoadPlan plan;
    private final Consumer<AttemptRecord> attemptListener;
    private final Consumer<Progress> progressListener;
    private final List<RequestStatistics> statistics = new ArrayList<>();
    private final RequestStatistics warmUpStatistics = new RequestStatistics("warm-up", PriorityClass.SHEDDABLE);
    private final AtomicLong outstanding = new AtomicLong();
    private final SplittableRandom random;
    private long requestCount;

    /**
     * Creates a load generator.
     *
     * @param plan the load to offer
     * @param attemptListener receives each attempt; called by several threads
     * @param progressListener receives the counts about once a second
     */
    public LoadGenerator(LoadPlan plan, Consumer<AttemptRecord> attemptListener, Consumer<Progress> progressListener) {
        this.plan = plan;
        this.attemptListener = attemptListener;
        this.progressListener = progressListener;
        this.random = new SplittableRandom(plan.seed());
        for (KindLoad kind : plan.kinds()) {
            statistics.add(new RequestStatistics(kind.target(), kind.priorityClass()));
        }
    }

    /**
     * Offers the load, waits for the last responses, and returns the results.
     *
     * @return the results as seen by the caller
     * @throws Exception if the HTTP client cannot be created
     */
    public LoadResult run() throws Exception {
        // Internal class: Ratpack 1.9 has no public factory for an execution controller without a server.
        try (ExecController controller = new DefaultExecController(THREADS)) {
            HttpClient client = HttpClient.of(spec -> spec.execController(controller)
                    .useJdkAddressResolver()
                    .poolSize(POOL_SIZE)
                    .maxContentLength(MAX_RESPONSE_BYTES));
            long startedAt = System.nanoTime() + plan.warmUp().toNanos();
            offer(controller, new CallerContext(plan, client, startedAt, attemptListener));
            awaitCompletion();
            return LoadResult.of(plan.duration().toMillis() / 1_000.0, statistics, outstanding.get());
        }
    }

    private void offer(ExecController controller, CallerContext context) {
        PriorityQueue<Arrival> arrivals = new PriorityQueue<>((a, b) -> Long.compare(a.offsetNanos(), b.offsetNanos()));
        for (int index = 0; index < plan.kinds().size(); index++) {
            if (plan.kinds().get(index).rate() > 0) {
                arrivals.add(nextArrival(index, -plan.warmUp().toNanos()));
            }
        }
        long end = plan.duration().toNanos();
        long nextProgress = Long.MIN_VALUE;
        while (!arrivals.isEmpty() && arrivals.peek().offsetNanos() < end) {
            Arrival arrival = arrivals.poll();
            sleepUntil(context.startedAt() + arrival.offsetNanos());
            startRequest(controller, context, arrival);
            arrivals.add(nextArrival(arrival.kindIndex(), arrival.offsetNanos()));
            if (arrival.offsetNanos() >= nextProgress) {
                progressListener.accept(currentProgress(arrival.offsetNanos()));
                nextProgress = arrival.offsetNanos() + (long) NANOS_PER_SECOND;
            }
        }
        sleepUntil(context.startedAt() + end);
    }

    private Arrival nextArrival(int kindIndex, long afterNanos) {
        double rate = plan.kinds().get(kindIndex).rate() * factorAt(afterNanos / NANOS_PER_SECOND);
        double gapSeconds = -Math.log(1 - random.nextDouble()) / rate;
        return new Arrival(kindIndex, afterNanos + (long) (gapSeconds * NANOS_PER_SECOND));
    }

    /**
     * Returns the factor on all rates. It rises during the warm-up, because processes that have just started would shed
     * the full rate.
     */
    private double factorAt(double seconds) {
        if (seconds >= 0) {
            return plan.shape().factorAt(seconds);
        }
        double warmUp = plan.warmUp().toNanos() / NANOS_PER_SECOND;
        return Math.max(MIN_WARM_UP_FACTOR, 1 + seconds / warmUp);
    }

    private void startRequest(ExecController controller, CallerContext context, Arrival arrival) {
        RequestStatistics kindStatistics =
                arrival.offsetNanos() < 0 ? warmUpStatistics : statistics.get(arrival.kindIndex());
        if (outstanding.get() >= plan.outstandingLimit()) {
            kindStatistics.skipped();
            return;
        }
        outstanding.incrementAndGet();
        kindStatistics.offered((int) TimeUnit.NANOSECONDS.toSeconds(arrival.offsetNanos()));
        LogicalRequest request = new LogicalRequest(
                context,
                plan.kinds().get(arrival.kindIndex()),
                plan.name() + "-" + ++requestCount,
                context.startedAt() + arrival.offsetNanos(),
                (ended, completion) -> {
                    kindStatistics.recordCompletion(completion);
                    outstanding.decrementAndGet();
                });
        controller.fork().start(execution -> request.attempt());
    }

    private void awaitCompletion() {
        long limit = System.nanoTime() + COMPLETION_TIMEOUT.toNanos();
        while (outstanding.get() > 0 && System.nanoTime() < limit) {
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }

    private Progress currentProgress(long offsetNanos) {
        long whole = 0;
        long notRun = 0;
        long unknown = 0;
        for (RequestStatistics kindStatistics : statistics) {
            whole += kindStatistics.count(RequestOutcome.WHOLE);
            notRun += kindStatistics.count(RequestOutcome.NOT_RUN);
            unknown += kindStatistics.count(RequestOutcome.UNKNOWN);
        }
        return new Progress(
                TimeUnit.NANOSECONDS.toSeconds(offsetNanos), requestCount, whole, notRun, unknown, outstanding.get());
    }

    private static void sleepUntil(long time) {
        long left = time - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = time - System.nanoTime();
        }
    }

    private record Arrival(int kindIndex, long offsetNanos) {}

    /**
     * Counts during a run.
     *
     * @param second seconds since the start
     * @param offered requests started
     * @param whole intact responses within the deadline
     * @param notRun requests that did not run
     * @param unknown requests with an unknown outcome
     * @param outstanding requests that have not ended
     */
    public record Progress(long second, long offered, long whole, long notRun, long unknown, long outstanding) {}
}
