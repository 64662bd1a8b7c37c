package org.plantainshunt.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import org.plantainshunt.bench.fleet.Fleet;
import org.plantainshunt.bench.fleet.FleetDocument;
import org.plantainshunt.bench.fleet.FleetPlan;
import org.plantainshunt.bench.fleet.FleetVm;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.standins.AttemptRecord;
import org.plantainshunt.standins.LoadGenerator;
import org.plantainshunt.standins.LoadPlan;
import org.plantainshunt.standins.LoadResult;
import org.plantainshunt.standins.LoadShape;
import org.plantainshunt.standins.RequestRecord;
import org.plantainshunt.standins.RetryStyle;

/**
 * Injects failures into a fleet under load, one after the other, and checks the invariants: processes are killed and
 * frozen, connections cut and stalled, a backend server drained and a node stopped gracefully.
 *
 * <p>The exit status is 0 only if all invariants held. A run takes about a minute. Confined to one thread.
 */
public final class FailureRun {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration WARM_UP = Duration.ofSeconds(6);
    private static final Duration LOAD_DURATION = Duration.ofSeconds(38);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(31);
    private static final Duration LOAD_TIMEOUT = Duration.ofSeconds(120);
    private static final double DEEP_SERVICE_SHARE = 0.2;
    private static final int SLOT_DIVISOR = 4;
    private static final int MAX_ATTEMPTS = 4;
    private static final int OUTSTANDING_LIMIT = 5_000;
    private static final int MAX_PRINTED = 10;

    private final Fleet fleet;
    private final CallGraphLoad load;
    private final long seed;
    private final PrintStream out;
    private final Collection<AttemptRecord> attempts = new ConcurrentLinkedQueue<>();
    private final List<Departure> departures = new ArrayList<>();
    private final long startedAt = System.nanoTime();

    private FailureRun(Fleet fleet, long seed, PrintStream out) {
        this.fleet = fleet;
        this.load = new CallGraphLoad(fleet.plan());
        this.seed = seed;
        this.out = out;
    }

    /**
     * Injects each failure once.
     *
     * @param arguments a configuration document and, optionally, a seed for the load
     * @throws Exception if a process cannot be started
     */
    public static void main(String[] arguments) throws Exception {
        Path directory = Files.createTempDirectory("plantainshunt-failures");
        FleetDocument document =
                FleetDocument.read(Files.readAllBytes(Path.of(arguments[0]))).withSlotsDividedBy(SLOT_DIVISOR);
        long seed = arguments.length > 1 ? Long.parseLong(arguments[1]) : 1;
        boolean held;
        try (Fleet fleet = Fleet.startWithRelays(FleetPlan.small(document), directory)) {
            fleet.awaitReady(START_TIMEOUT);
            held = new FailureRun(fleet, seed, System.out).run();
        }
        System.out.println((held ? "All invariants held." : "FAILED.") + " Records are in " + directory);
        System.exit(held ? 0 : 1);
    }

    private boolean run() throws Exception {
        CompletableFuture<LoadResult> running = CompletableFuture.supplyAsync(this::runLoad);
        TimeUnit.MILLISECONDS.sleep(WARM_UP.toMillis());
        killAndFreezeNodes();
        killBackendServer();
        drainWhilePlatformIsDown();
        cutAndStallConnections();
        stopGracefully();
        LoadResult result = running.get(LOAD_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        QuickstartTable.print(result, out);
        return checkInvariants();
    }

    private LoadResult runLoad() {
        LoadPlan plan = new LoadPlan(
                "failures",
                fleet.callerAddresses(),
                load.loads(DEEP_SERVICE_SHARE),
                LoadShape.STEADY,
                WARM_UP,
                LOAD_DURATION,
                seed,
                RetryStyle.HARD,
                MAX_ATTEMPTS,
                OUTSTANDING_LIMIT);
        try {
            return new LoadGenerator(plan, attempts::add, progress -> {}).run();
        } catch (Exception failure) {
            throw new IllegalStateException("the load generator failed", failure);
        }
    }

    private void killAndFreezeNodes() throws IOException, InterruptedException {
        FleetVm vm = deepVm(0);
        log("kill the node of " + vm.name());
        vm.killNode();
        pause(2);
        log("start it again");
        vm.startNode();
        pause(4);
        FleetVm frozen = deepVm(1);
        log("freeze the node of " + frozen.name() + " for 4 s");
        frozen.freezeNode();
        pause(4);
        frozen.resumeNode();
        pause(2);
    }

    private void killBackendServer() throws IOException, InterruptedException {
        FleetVm vm = deepVm(1);
        log("kill the backend server of " + vm.name());
        vm.killBackendServer();
        pause(2);
        log("start it again");
        vm.startBackendServer();
        pause(3);
    }

    private void drainWhilePlatformIsDown() throws IOException, InterruptedException {
        FleetVm vm = deepVm(0);
        log("take the platform down and let the backend server of " + vm.name() + " drain");
        fleet.platform().setMode("down");
        long leavingSince = System.currentTimeMillis();
        vm.drain();
        pause(6);
        long until = System.currentTimeMillis();
        departures.add(new Departure(vm.name(), leavingSince, until, false));
        vm.setHealth("serving");
        fleet.platform().setMode("ok");
        pause(1);
    }

    private void cutAndStallConnections() throws IOException, InterruptedException {
        FleetVm vm = fleet.vms().get(0);
        log("cut the connections to " + vm.name());
        fleet.relays().links().cut("", vm.innerAddress().toString());
        pause(3);
        fleet.relays().links().heal();
        log("heal the connections; stall those to " + vm.name());
        fleet.relays().links().stall("", vm.innerAddress().toString());
        pause(3);
        fleet.relays().links().heal();
        pause(1);
    }

    private void stopGracefully() throws InterruptedException {
        FleetVm vm = deepVm(1);
        log("stop the node of " + vm.name() + " gracefully");
        long stoppedAt = System.currentTimeMillis();
        vm.terminateNode();
        boolean ended = vm.awaitNodeEnd(STOP_TIMEOUT);
        long exitedAt = System.currentTimeMillis();
        log((ended ? "it exited after " : "it is still running after ") + (exitedAt - stoppedAt) + " ms");
        departures.add(new Departure(vm.name(), stoppedAt, exitedAt, true));
    }

    private boolean checkInvariants() throws IOException {
        List<RequestRecord> requests = fleet.records();
        FleetDocument document = fleet.plan().document();
        InvariantChecker checker = new InvariantChecker(
                (server, kind) ->
                        document.kind(service(server), kind).orElseThrow().atMostOnce(),
                document.retriesPerRequest());
        List<InvariantChecker.Violation> violations = checker.check(attempts, requests);
        out.printf(
                "checked %d attempts against %d requests: %d violations%n",
                attempts.size(), requests.size(), violations.size());
        violations.stream().limit(MAX_PRINTED).forEach(violation -> out.println("  " + violation));
        boolean held = violations.isEmpty();
        for (Departure departure : departures) {
            held &= checkDeparture(departure, requests);
        }
        return held;
    }

    private boolean checkDeparture(Departure departure, List<RequestRecord> requests) {
        List<RequestRecord> late = LeavingServerChecker.lateRequests(
                requests, departure.server(), departure.leavingSince(), departure.until());
        List<RequestRecord> interrupted = departure.stopped()
                ? LeavingServerChecker.interruptedRequests(
                        requests, departure.server(), departure.leavingSince(), departure.until())
                : List.of();
        out.printf(
                "%s left: %d requests arrived more than 3 s later, %d were interrupted%n",
                departure.server(), late.size(), interrupted.size());
        late.stream().limit(MAX_PRINTED).forEach(request -> out.println("  late: " + request));
        interrupted.stream().limit(MAX_PRINTED).forEach(request -> out.println("  interrupted: " + request));
        return late.isEmpty() && interrupted.isEmpty();
    }

    private FleetVm deepVm(int index) {
        Kind deepest = load.deepestKind();
        return fleet.vms(deepest.service()).get(index);
    }

    private String service(String server) {
        return fleet.vms().stream()
                .filter(vm -> vm.name().equals(server))
                .findFirst()
                .orElseThrow()
                .service();
    }

    private void log(String text) {
        out.printf("%5.1f s: %s%n", (System.nanoTime() - startedAt) / 1e9, text);
    }

    private static void pause(int seconds) throws InterruptedException {
        TimeUnit.SECONDS.sleep(seconds);
    }

    private record Departure(String server, long leavingSince, long until, boolean stopped) {}
}
