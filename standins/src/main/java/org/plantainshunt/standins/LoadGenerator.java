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
 * Offers load in an open loop: work falls due at random times drawn from a seed, whether earlier work is done or not.
 *
 * <p>For example {@code new LoadGenerator(plan, attempt -> {}, progress -> {}).run()}. Used once, by one thread.
 */
public final class LoadGenerator {
    private static final int THREADS = 2;
    private static final int POOL_SIZE = 2_000;
    private static final int LARGEST_ANSWER = 4 * 1024 * 1024;
    private static final double NANOS_PER_SECOND = 1e9;
    /** How long outstanding work may take after the last arrival; a deadline is at most 30 s. */
    private static final Duration LONGEST_END = Duration.ofSeconds(40);

    private static final Duration WAIT_STEP = Duration.ofMillis(10);

    private static final double LEAST_WARM_UP_FACTOR = 0.1;

    private final LoadPlan plan;
    private final Consumer<AttemptRecord> attempts;
    private final Consumer<Progress> progress;
    private final List<KindTally> tallies = new ArrayList<>();
    private final KindTally warmUpTally = new KindTally("warm-up", PriorityClass.SHEDDABLE);
    private final AtomicLong outstanding = new AtomicLong();
    private final SplittableRandom random;
    private long works;

    /**
     * Creates a caller.
     *
     * @param plan what to offer
     * @param attempts is told each attempt; called by several threads
     * @param progress is told the counts about once a second
     */
    public LoadGenerator(LoadPlan plan, Consumer<AttemptRecord> attempts, Consumer<Progress> progress) {
        this.plan = plan;
        this.attempts = attempts;
        this.progress = progress;
        this.random = new SplittableRandom(plan.seed());
        for (KindLoad kind : plan.kinds()) {
            tallies.add(new KindTally(kind.target(), kind.priorityClass()));
        }
    }

    /**
     * Offers the load, waits for the last answers, and returns the counts.
     *
     * @return what the caller saw
     * @throws Exception if the HTTP client cannot be created
     */
    public LoadResult run() throws Exception {
        // Ratpack 1.9 has no public factory for a controller without a server.
        try (ExecController controller = new DefaultExecController(THREADS)) {
            HttpClient client = HttpClient.of(spec -> spec.execController(controller)
                    .useJdkAddressResolver()
                    .poolSize(POOL_SIZE)
                    .maxContentLength(LARGEST_ANSWER));
            long startedAt = System.nanoTime() + plan.warmUp().toNanos();
            offer(controller, new CallerContext(plan, client, startedAt, attempts));
            awaitEnd();
            return LoadResult.of(plan.duration().toMillis() / 1_000.0, tallies, outstanding.get());
        }
    }

    private void offer(ExecController controller, CallerContext context) {
        PriorityQueue<Arrival> arrivals = new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
        for (int index = 0; index < plan.kinds().size(); index++) {
            if (plan.kinds().get(index).rate() > 0) {
                arrivals.add(next(index, -plan.warmUp().toNanos()));
            }
        }
        long end = plan.duration().toNanos();
        long nextProgress = Long.MIN_VALUE;
        while (!arrivals.isEmpty() && arrivals.peek().at() < end) {
            Arrival arrival = arrivals.poll();
            sleepUntil(context.startedAt() + arrival.at());
            begin(controller, context, arrival);
            arrivals.add(next(arrival.kind(), arrival.at()));
            if (arrival.at() >= nextProgress) {
                progress.accept(progressNow(arrival.at()));
                nextProgress = arrival.at() + (long) NANOS_PER_SECOND;
            }
        }
        sleepUntil(context.startedAt() + end);
    }

    private Arrival next(int kind, long after) {
        double rate = plan.kinds().get(kind).rate() * factorAt(after / NANOS_PER_SECOND);
        double gapSeconds = -Math.log(1 - random.nextDouble()) / rate;
        return new Arrival(kind, after + (long) (gapSeconds * NANOS_PER_SECOND));
    }

    /** Returns the factor on all rates; cold processes would shed the full rate, so it rises during the warm-up. */
    private double factorAt(double seconds) {
        if (seconds >= 0) {
            return plan.shape().factorAt(seconds);
        }
        double warmUp = plan.warmUp().toNanos() / NANOS_PER_SECOND;
        return Math.max(LEAST_WARM_UP_FACTOR, 1 + seconds / warmUp);
    }

    private void begin(ExecController controller, CallerContext context, Arrival arrival) {
        KindTally tally = arrival.at() < 0 ? warmUpTally : tallies.get(arrival.kind());
        if (outstanding.get() >= plan.outstandingLimit()) {
            tally.skipped();
            return;
        }
        outstanding.incrementAndGet();
        tally.offered((int) TimeUnit.NANOSECONDS.toSeconds(arrival.at()));
        CallerWork work = new CallerWork(
                context,
                plan.kinds().get(arrival.kind()),
                plan.name() + "-" + ++works,
                context.startedAt() + arrival.at(),
                (ended, end) -> {
                    tally.ended(end);
                    outstanding.decrementAndGet();
                });
        controller.fork().start(execution -> work.attempt());
    }

    private void awaitEnd() {
        long limit = System.nanoTime() + LONGEST_END.toNanos();
        while (outstanding.get() > 0 && System.nanoTime() < limit) {
            LockSupport.parkNanos(WAIT_STEP.toNanos());
        }
    }

    private Progress progressNow(long at) {
        long whole = 0;
        long notRun = 0;
        long unknown = 0;
        for (KindTally tally : tallies) {
            whole += tally.count(WorkOutcome.WHOLE);
            notRun += tally.count(WorkOutcome.NOT_RUN);
            unknown += tally.count(WorkOutcome.UNKNOWN);
        }
        return new Progress(TimeUnit.NANOSECONDS.toSeconds(at), works, whole, notRun, unknown, outstanding.get());
    }

    private static void sleepUntil(long time) {
        long left = time - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = time - System.nanoTime();
        }
    }

    private record Arrival(int kind, long at) {}

    /**
     * Counts while the load runs.
     *
     * @param second seconds since the start
     * @param offered works begun
     * @param whole whole answers within the deadline
     * @param notRun works that did not run
     * @param unknown works with an unknown outcome
     * @param outstanding works that have not ended
     */
    public record Progress(long second, long offered, long whole, long notRun, long unknown, long outstanding) {}
}
