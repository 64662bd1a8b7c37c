package org.plantainshunt.bench.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.plantainshunt.result.RunState;
import org.plantainshunt.standins.AttemptRecord;
import org.plantainshunt.standins.Endpoint;
import org.plantainshunt.standins.KindLoad;
import org.plantainshunt.standins.LoadGenerator;
import org.plantainshunt.standins.LoadPlan;
import org.plantainshunt.standins.LoadShape;
import org.plantainshunt.standins.RetryStyle;

/**
 * A steady load that runs in the background while a test injects failures; there are no retries.
 *
 * <p>Safe for use by any thread.
 */
final class BackgroundLoad {
    private static final int OUTSTANDING_LIMIT = 1_000;
    private static final long TIMEOUT_SECONDS = 60;

    private final Collection<AttemptRecord> attempts = new ConcurrentLinkedQueue<>();
    private final CompletableFuture<Void> running;

    private BackgroundLoad(LoadPlan plan) {
        running = CompletableFuture.runAsync(() -> {
            try {
                new LoadGenerator(plan, attempts::add, progress -> {}).run();
            } catch (Exception failure) {
                throw new IllegalStateException("the load generator failed", failure);
            }
        });
    }

    /** Starts consecutive loads of the slice duration, without a gap, until the action is done. */
    static List<AttemptRecord> during(
            Action action, List<Endpoint> entries, List<KindLoad> kinds, Duration slice, long seed) throws Exception {
        ScheduledExecutorService slices = Executors.newSingleThreadScheduledExecutor();
        List<BackgroundLoad> loads = new CopyOnWriteArrayList<>();
        try {
            slices.scheduleAtFixedRate(
                    () -> loads.add(start("slice" + loads.size(), entries, kinds, slice, seed + loads.size())),
                    0,
                    slice.toMillis(),
                    TimeUnit.MILLISECONDS);
            action.run();
        } finally {
            slices.shutdown();
        }
        List<AttemptRecord> attempts = new ArrayList<>();
        for (BackgroundLoad load : loads) {
            attempts.addAll(load.await());
        }
        return attempts;
    }

    /** Starts a load of this duration. */
    static BackgroundLoad start(
            String name, List<Endpoint> entries, List<KindLoad> kinds, Duration duration, long seed) {
        return new BackgroundLoad(new LoadPlan(
                name,
                entries,
                kinds,
                LoadShape.STEADY,
                Duration.ZERO,
                duration,
                seed,
                RetryStyle.NONE,
                1,
                OUTSTANDING_LIMIT));
    }

    /** Waits for the end of the load and returns the attempts of its callers. */
    List<AttemptRecord> await() throws Exception {
        running.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return List.copyOf(attempts);
    }

    /** The action of a test during a load. */
    @FunctionalInterface
    interface Action {
        void run() throws Exception;
    }

    /** Returns the attempts whose outcome is unknown to the caller. */
    static List<AttemptRecord> unknown(Collection<AttemptRecord> attempts) {
        List<AttemptRecord> unknown = new ArrayList<>();
        for (AttemptRecord attempt : attempts) {
            if (attempt.run().equals(RunState.UNKNOWN.label())) {
                unknown.add(attempt);
            }
        }
        return unknown;
    }

    /** Describes the number of attempts by status and result code. */
    static String summary(Collection<AttemptRecord> attempts) {
        Map<String, Integer> counts = new TreeMap<>();
        for (AttemptRecord attempt : attempts) {
            String run = attempt.result() == 0 ? " " + attempt.run() : "";
            counts.merge(attempt.status() + "/" + attempt.result() + run, 1, Integer::sum);
        }
        return attempts.size() + " attempts by status and result code: " + counts;
    }
}
