package org.plantainshunt.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.plantainshunt.bench.policy.ScenarioTable.Row;

/** A scenario of section 1.3 of docs/design.md, run with all policies on both deployments. */
abstract class Scenario {
    /** The seed of a run if the system property {@code seed} is not set. */
    static final long DEFAULT_SEED = 20_261_204L;

    /** Limited to four concurrent runs, to leave CPU time for other builds on a shared machine. */
    private static final int THREADS = 4;

    private static final double PERCENT = 100;

    /** Returns the value of the system property {@code seed}, or the default seed. */
    static long seed() {
        return Long.getLong("seed", DEFAULT_SEED);
    }

    /** Runs the scenario; the table depends only on the seed. */
    abstract ScenarioTable run(long seed);

    /** Runs the simulations of one table row. */
    interface Task {
        Row run();
    }

    /** Creates the task of one table row. */
    interface TaskFactory {
        Task create(Deployment deployment, PolicySet policies);
    }

    static List<Task> forAll(TaskFactory factory) {
        List<Task> tasks = new ArrayList<>();
        for (Deployment deployment : Deployments.all()) {
            for (PolicySet policies : PolicySet.values()) {
                tasks.add(factory.create(deployment, policies));
            }
        }
        return tasks;
    }

    static List<Row> runAll(List<Task> tasks) {
        ExecutorService executor = Executors.newFixedThreadPool(THREADS);
        try {
            List<Future<Row>> futures = new ArrayList<>();
            tasks.forEach(task -> futures.add(executor.submit(task::run)));
            List<Row> rows = new ArrayList<>();
            for (Future<Row> future : futures) {
                rows.add(future.get());
            }
            return rows;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while a scenario ran", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("scenario run failed", e.getCause());
        } finally {
            executor.shutdownNow();
        }
    }

    static Measurements simulate(Deployment deployment, PolicySet policies, Conditions conditions, long seed) {
        return new Simulation(deployment, policies, conditions, seed).run();
    }

    static String percent(double share) {
        return String.format(Locale.ROOT, "%.1f %%", share * PERCENT);
    }

    static String milliseconds(long nanos) {
        return String.format(Locale.ROOT, "%.0f ms", (double) nanos / VirtualClock.MILLISECOND);
    }

    static String number(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    /** Formats the mean and the largest number of retries in the call chain of a received request. */
    static String retries(Measurements measurements) {
        return number(measurements.meanRetries()) + " / " + measurements.maxRetries();
    }

    /** Collects violations of the bounds in a run of the project's own policies. */
    static final class Bounds {
        private final List<String> violations = new ArrayList<>();
        private final boolean enforced;
        private final String runLabel;

        /** Creates a collector; for the baselines, no bounds are enforced. */
        Bounds(Deployment deployment, PolicySet policies, String variant) {
            enforced = policies == PolicySet.PLANTAINSHUNT;
            runLabel = deployment.name() + (variant.isEmpty() ? "" : ", " + variant);
        }

        Bounds require(boolean met, String measured) {
            if (enforced && !met) {
                violations.add(runLabel + ": " + measured);
            }
            return this;
        }

        /** Requires that no received request exceeds the bound on retries in its call chain. */
        Bounds requireRetries(Measurements measurements, Deployment deployment) {
            int bound = deployment.policy().retriesPerRequest();
            return require(
                    measurements.maxRetries() <= bound,
                    measurements.maxRetries() + " retries in the chain of one request, the bound is " + bound);
        }

        Row row(List<String> cells) {
            return new Row(cells, List.copyOf(violations));
        }
    }
}
