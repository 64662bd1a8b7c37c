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
 * Kills, freezes, cuts off, drains and stops parts of a fleet in turn under load, and checks the invariants.
 *
 * <p>The exit status is 0 only if all invariants held. A run takes about a minute. Confined to one thread.
 */
public final class FailureRun {
    private static final Duration START = Duration.ofSeconds(30);
    private static final Duration WARM_UP = Duration.ofSeconds(6);
    private static final Duration LOAD = Duration.ofSeconds(38);
    private static final Duration LONGEST_STOP = Duration.ofSeconds(31);
    private static final Duration LONGEST_END = Duration.ofSeconds(120);
    private static final double DEEP_SERVICE_SHARE = 0.2;
    private static final int SLOT_DIVISOR = 4;
    private static final int ATTEMPTS = 4;
    private static final int OUTSTANDING_LIMIT = 5_000;
    private static final int SHOWN = 10;

    private final Fleet fleet;
    private final CallGraphLoad load;
    private final long seed;
    private final PrintStream out;
    private final Collection<AttemptRecord> attempts = new ConcurrentLinkedQueue<>();
    private final List<Leaving> leavings = new ArrayList<>();
    private final long startedAt = System.nanoTime();

    private FailureRun(Fleet fleet, long seed, PrintStream out) {
        this.fleet = fleet;
        this.load = new CallGraphLoad(fleet.plan());
        this.seed = seed;
        this.out = out;
    }

    /**
     * Runs the failures once.
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
            fleet.awaitReady(START);
            held = new FailureRun(fleet, seed, System.out).run();
        }
        System.out.println((held ? "All invariants held." : "FAILED.") + " Records are in " + directory);
        System.exit(held ? 0 : 1);
    }

    private boolean run() throws Exception {
        CompletableFuture<LoadResult> running = CompletableFuture.supplyAsync(this::offer);
        TimeUnit.MILLISECONDS.sleep(WARM_UP.toMillis());
        breakNodes();
        breakBackendServer();
        drainWhilePlatformIsDown();
        cutOff();
        stopAsPlanned();
        LoadResult result = running.get(LONGEST_END.toSeconds(), TimeUnit.SECONDS);
        QuickstartTable.print(result, out);
        return judge();
    }

    private LoadResult offer() {
        LoadPlan plan = new LoadPlan(
                "failures",
                fleet.entries(),
                load.loads(DEEP_SERVICE_SHARE),
                LoadShape.STEADY,
                WARM_UP,
                LOAD,
                seed,
                RetryStyle.HARD,
                ATTEMPTS,
                OUTSTANDING_LIMIT);
        try {
            return new LoadGenerator(plan, attempts::add, progress -> {}).run();
        } catch (Exception failure) {
            throw new IllegalStateException("the load could not be offered", failure);
        }
    }

    private void breakNodes() throws IOException, InterruptedException {
        FleetVm vm = deepVm(0);
        say("kill the node of " + vm.name());
        vm.killNode();
        pause(2);
        say("start it again");
        vm.startNode();
        pause(4);
        FleetVm frozen = deepVm(1);
        say("freeze the node of " + frozen.name() + " for 4 s");
        frozen.freezeNode();
        pause(4);
        frozen.resumeNode();
        pause(2);
    }

    private void breakBackendServer() throws IOException, InterruptedException {
        FleetVm vm = deepVm(1);
        say("kill the backend server of " + vm.name());
        vm.killBackendServer();
        pause(2);
        say("start it again");
        vm.startBackendServer();
        pause(3);
    }

    private void drainWhilePlatformIsDown() throws IOException, InterruptedException {
        FleetVm vm = deepVm(0);
        say("platform down; the backend server of " + vm.name() + " drains");
        fleet.platform().setMode("down");
        long leftAt = System.currentTimeMillis();
        vm.drain();
        pause(6);
        long until = System.currentTimeMillis();
        leavings.add(new Leaving(vm.name(), leftAt, until, false));
        vm.setHealth("serving");
        fleet.platform().setMode("ok");
        pause(1);
    }

    private void cutOff() throws IOException, InterruptedException {
        FleetVm vm = fleet.vms().get(0);
        say("cut the connections to " + vm.name());
        fleet.relays().links().cut("", vm.innerAddress().toString());
        pause(3);
        fleet.relays().links().heal();
        say("healed; stall the connections to " + vm.name());
        fleet.relays().links().stall("", vm.innerAddress().toString());
        pause(3);
        fleet.relays().links().heal();
        pause(1);
    }

    private void stopAsPlanned() throws InterruptedException {
        FleetVm vm = deepVm(1);
        say("stop the node of " + vm.name() + " as planned");
        long stoppedAt = System.currentTimeMillis();
        vm.terminateNode();
        boolean ended = vm.awaitNodeEnd(LONGEST_STOP);
        long goneAt = System.currentTimeMillis();
        say((ended ? "it ended after " : "it still runs after ") + (goneAt - stoppedAt) + " ms");
        leavings.add(new Leaving(vm.name(), stoppedAt, goneAt, true));
    }

    private boolean judge() throws IOException {
        List<RequestRecord> requests = fleet.records();
        FleetDocument document = fleet.plan().document();
        InvariantJudge judge = new InvariantJudge(
                (server, kind) ->
                        document.kind(service(server), kind).orElseThrow().atMostOnce(),
                document.retriesPerRequest());
        List<InvariantJudge.Violation> violations = judge.judge(attempts, requests);
        out.printf(
                "judged %d attempts against %d requests: %d violations%n",
                attempts.size(), requests.size(), violations.size());
        violations.stream().limit(SHOWN).forEach(violation -> out.println("  " + violation));
        boolean held = violations.isEmpty();
        for (Leaving leaving : leavings) {
            held &= judgeLeaving(leaving, requests);
        }
        return held;
    }

    private boolean judgeLeaving(Leaving leaving, List<RequestRecord> requests) {
        List<RequestRecord> late = LeavingJudge.late(requests, leaving.server(), leaving.leftAt(), leaving.until());
        List<RequestRecord> interrupted = leaving.stopped()
                ? LeavingJudge.interrupted(requests, leaving.server(), leaving.leftAt(), leaving.until())
                : List.of();
        out.printf(
                "%s left: %d requests came more than 3 s later, %d were interrupted%n",
                leaving.server(), late.size(), interrupted.size());
        late.stream().limit(SHOWN).forEach(request -> out.println("  late: " + request));
        interrupted.stream().limit(SHOWN).forEach(request -> out.println("  interrupted: " + request));
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

    private void say(String text) {
        out.printf("%5.1f s: %s%n", (System.nanoTime() - startedAt) / 1e9, text);
    }

    private static void pause(int seconds) throws InterruptedException {
        TimeUnit.SECONDS.sleep(seconds);
    }

    private record Leaving(String server, long leftAt, long until, boolean stopped) {}
}
