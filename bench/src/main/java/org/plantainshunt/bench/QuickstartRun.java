package org.plantainshunt.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import org.plantainshunt.bench.fleet.Fleet;
import org.plantainshunt.bench.fleet.FleetDocument;
import org.plantainshunt.bench.fleet.FleetPlan;
import org.plantainshunt.bench.fleet.FleetVm;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.standins.AttemptRecord;
import org.plantainshunt.standins.KindLoad;
import org.plantainshunt.standins.LoadGenerator;
import org.plantainshunt.standins.LoadPlan;
import org.plantainshunt.standins.LoadResult;
import org.plantainshunt.standins.LoadShape;
import org.plantainshunt.standins.RequestOutcome;
import org.plantainshunt.standins.RetryStyle;

/** Runs the quickstart of one deployment. Confined to one thread. */
final class QuickstartRun {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(25);
    private static final Duration EVERY_KIND_DURATION = Duration.ofSeconds(3);
    private static final double EVERY_KIND_RATE = 4;
    private static final Duration WARM_UP = Duration.ofSeconds(4);
    private static final int TRIGGER_START = 4;
    private static final int TRIGGER_END = 11;
    private static final int LOAD_END = 18;
    /** The deepest service slows to a fifth of its speed while demand doubles and callers retry at once. */
    private static final double SLOW_FACTOR = 5;

    private static final double DEMAND_FACTOR = 2;
    /** With a higher share, backend servers with few slots shed at random peaks before the overload begins. */
    private static final double DEEP_SERVICE_SHARE = 0.25;

    private static final int MAX_ATTEMPTS = 3;
    private static final int OUTSTANDING_LIMIT = 5_000;
    private static final long SEED = 20_261_204;
    private static final int MAX_PRINTED_VIOLATIONS = 10;

    private final FleetPlan plan;
    private final CallGraphLoad load;
    private final Path directory;
    private final PrintStream out;
    private final Collection<AttemptRecord> attempts = new ConcurrentLinkedQueue<>();

    QuickstartRun(FleetDocument document, Path directory, PrintStream out) {
        this.plan = FleetPlan.small(document);
        this.load = new CallGraphLoad(plan);
        this.directory = directory;
        this.out = out;
    }

    /** Runs the deployment and returns whether every kind was answered and every invariant held. */
    boolean run() throws Exception {
        out.printf("%n%s: starting%n", plan.document().name());
        long startedAt = System.nanoTime();
        try (Fleet fleet = Fleet.start(plan, directory)) {
            fleet.awaitReady(START_TIMEOUT);
            out.printf(
                    "%d VMs with a node and a backend server each are ready after %.1f s%n",
                    fleet.vms().size(), (System.nanoTime() - startedAt) / 1e9);
            boolean answered = sendEveryKind(fleet);
            LoadResult result = overload(fleet);
            QuickstartTable.print(result, out);
            printRecovery(result);
            return checkInvariants(fleet) & answered;
        }
    }

    private boolean sendEveryKind(Fleet fleet) throws Exception {
        LoadPlan everyKindPlan = new LoadPlan(
                "every",
                fleet.callerAddresses(),
                load.evenLoads(EVERY_KIND_RATE),
                LoadShape.STEADY,
                WARM_UP,
                EVERY_KIND_DURATION,
                SEED,
                RetryStyle.POLITE,
                MAX_ATTEMPTS,
                OUTSTANDING_LIMIT);
        LoadResult result = new LoadGenerator(everyKindPlan, attempts::add, progress -> {}).run();
        boolean all = true;
        for (LoadResult.Counts counts : result.byKind()) {
            long whole = counts.count(RequestOutcome.WHOLE);
            out.printf("  %-28s %d of %d answered whole%n", counts.name(), whole, counts.offered());
            all &= whole > 0;
        }
        return all;
    }

    private LoadResult overload(Fleet fleet) throws Exception {
        Kind deepest = load.deepestKind();
        out.printf(
                "overload from second %d to %d: %s slows to a fifth, demand doubles, callers retry at once%n",
                TRIGGER_START, TRIGGER_END, deepest.service());
        List<KindLoad> loads = load.loads(DEEP_SERVICE_SHARE);
        LoadPlan overloadPlan = new LoadPlan(
                "overload",
                fleet.callerAddresses(),
                loads,
                LoadShape.step(TRIGGER_START, TRIGGER_END, DEMAND_FACTOR),
                Duration.ZERO,
                Duration.ofSeconds(LOAD_END),
                SEED,
                RetryStyle.HARD,
                MAX_ATTEMPTS,
                OUTSTANDING_LIMIT);
        CompletableFuture<LoadResult> running = CompletableFuture.supplyAsync(() -> runLoad(overloadPlan));
        long start = System.nanoTime();
        sleepUntil(start, TRIGGER_START);
        setServiceTimeFactor(fleet, deepest, SLOW_FACTOR);
        sleepUntil(start, TRIGGER_END);
        setServiceTimeFactor(fleet, deepest, 1);
        return running.get(LOAD_END + START_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    private LoadResult runLoad(LoadPlan overloadPlan) {
        try {
            return new LoadGenerator(overloadPlan, attempts::add, this::printProgress).run();
        } catch (Exception failure) {
            throw new IllegalStateException("the load generator failed", failure);
        }
    }

    private static void setServiceTimeFactor(Fleet fleet, Kind kind, double factor)
            throws IOException, InterruptedException {
        for (FleetVm vm : fleet.vms(kind.service())) {
            vm.setServiceTimeFactor(factor);
        }
    }

    private boolean checkInvariants(Fleet fleet) throws IOException {
        InvariantChecker checker = new InvariantChecker(
                (server, kind) -> atMostOnce(fleet, server, kind),
                plan.document().retriesPerRequest());
        var requests = fleet.records();
        List<InvariantChecker.Violation> violations = checker.check(attempts, requests);
        out.printf(
                "checked %d attempts against %d requests at backend servers: %d violations%n",
                attempts.size(), requests.size(), violations.size());
        violations.stream().limit(MAX_PRINTED_VIOLATIONS).forEach(violation -> out.println("  " + violation));
        return violations.isEmpty();
    }

    private boolean atMostOnce(Fleet fleet, String server, String kind) {
        String service = fleet.vms().stream()
                .filter(vm -> vm.name().equals(server))
                .findFirst()
                .orElseThrow()
                .service();
        return plan.document().kind(service, kind).orElseThrow().atMostOnce();
    }

    private void printProgress(LoadGenerator.Progress progress) {
        out.printf(
                "  second %2d: %5d offered, %5d whole, %4d not run, %3d unknown, %3d outstanding%n",
                progress.second(),
                progress.offered(),
                progress.whole(),
                progress.notRun(),
                progress.unknown(),
                progress.outstanding());
    }

    private void printRecovery(LoadResult result) {
        OptionalInt seconds = RecoveryTime.seconds(
                result.offeredBySecond(), result.goodputBySecond(), TRIGGER_START, TRIGGER_END, LOAD_END);
        out.println(
                seconds.isPresent()
                        ? "recovery time: " + seconds.getAsInt() + " s after the end of the overload"
                        : "recovery time: none; goodput did not recover within " + (LOAD_END - TRIGGER_END)
                                + " s, or was too low even before the overload");
    }

    private static void sleepUntil(long start, int second) throws InterruptedException {
        long left = start + TimeUnit.SECONDS.toNanos(second) - System.nanoTime();
        TimeUnit.NANOSECONDS.sleep(Math.max(0, left));
    }
}
