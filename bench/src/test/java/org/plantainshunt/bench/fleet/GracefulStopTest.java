package org.plantainshunt.bench.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;
import org.plantainshunt.standins.AttemptRecord;
import org.plantainshunt.standins.RequestRecord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Checks that SIGTERM to a node interrupts no call in flight.
 *
 * <p>One node of each service restarts at a time; with the system property {@code plantainshunt.fleet.one-by-one} a
 * single node does, which takes twice as long.
 */
class GracefulStopTest {
    private static final long SEED = Long.getLong("plantainshunt.fleet.seed", 20_261_204);
    private static final boolean ONE_BY_ONE = Boolean.getBoolean("plantainshunt.fleet.one-by-one");
    private static final Duration SLICE = Duration.ofSeconds(2);
    private static final Duration PAUSE = Duration.ofMillis(500);
    /** Calls that arrive while a node stops or starts are refused; most calls arrive at other times. */
    private static final double MIN_ANSWERED_SHARE = 0.75;

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);
    /** Long enough that calls are in flight at any moment. */
    private static final Map<String, Double> MEAN_MILLISECONDS =
            Map.of("recorder/upload", 250.0, "recorder/browse", 250.0, "archive/store", 60.0, "archive/lookup", 60.0);

    /**
     * Lets backend servers call again, because the first call with a ticket is refused as not run if the node stops
     * right after it has issued the ticket.
     */
    private static final List<String> TWO_CALL_ATTEMPTS = List.of("--call-attempts=2");

    /** The outage of each node by its caller address, from the signal until all nodes were ready again. */
    private static final Map<String, Outage> OUTAGES = new HashMap<>();

    private static FleetDocument document;
    private static Fleet fleet;
    private static Path directory;

    @BeforeAll
    static void startFleet() throws Exception {
        document = FleetTesting.documentWithGenerousLimits();
        FleetPlan plan = FleetPlan.small(document)
                .withMeanMilliseconds(MEAN_MILLISECONDS)
                .withBackendServerOptions(TWO_CALL_ATTEMPTS);
        directory = FleetTesting.directory("graceful-stop");
        fleet = Fleet.start(plan, directory);
        fleet.awaitReady(FleetTesting.START_TIMEOUT);
    }

    @AfterAll
    static void stopFleet() {
        if (fleet != null) {
            fleet.close();
        }
    }

    /** Guards against calls that a graceful stop interrupts, at the entry node or at the serving node. */
    @Test
    void interruptsNoCallInARollingRestartOfEveryNode() throws Exception {
        List<AttemptRecord> attempts = BackgroundLoad.during(
                GracefulStopTest::restartAll, fleet.callerAddresses(), FleetTesting.loads(document, 10), SLICE, SEED);
        checkRecords(attempts);
    }

    private static void restartAll() throws Exception {
        Thread.sleep(PAUSE.toMillis());
        List<FleetVm> recorders = fleet.vms("recorder");
        List<FleetVm> archives = fleet.vms("archive");
        for (int index = 0; index < recorders.size(); index++) {
            if (ONE_BY_ONE) {
                restart(List.of(recorders.get(index)));
                restart(List.of(archives.get(index)));
            } else {
                restart(List.of(recorders.get(index), archives.get(index)));
            }
        }
    }

    private static void restart(List<FleetVm> vms) throws Exception {
        long signalled = System.currentTimeMillis();
        long start = System.nanoTime();
        vms.forEach(FleetVm::terminateNode);
        for (FleetVm vm : vms) {
            assertTrue(vm.awaitNodeEnd(STOP_TIMEOUT), vm.name() + " did not stop");
            System.out.printf("%s stopped within %d ms%n", vm.name(), (System.nanoTime() - start) / 1_000_000);
        }
        for (FleetVm vm : vms) {
            vm.startNode();
        }
        fleet.awaitReady(FleetTesting.START_TIMEOUT);
        for (FleetVm vm : vms) {
            OUTAGES.put(vm.callerAddress().toString(), new Outage(signalled, System.currentTimeMillis()));
        }
        Thread.sleep(PAUSE.toMillis());
    }

    /**
     * Returns the ids of requests with a ticket that an entry node refused without sending them.
     *
     * <p>The node reports "unknown" because of earlier deliveries, but there was no call in flight to interrupt. Such
     * refusals are found by their detail in the node's log.
     */
    private static Set<String> refusedBeforeSending() throws IOException {
        ObjectMapper json = new ObjectMapper();
        Set<String> ids = new HashSet<>();
        for (FleetVm vm : fleet.vms()) {
            for (String line : Files.readAllLines(directory.resolve(vm.name() + "-node.out"))) {
                if (line.contains("this one met ")) {
                    ids.add(json.readTree(line).path("requestId").asText());
                }
            }
        }
        return ids;
    }

    private static void checkRecords(List<AttemptRecord> attempts) throws Exception {
        System.out.println("seed " + SEED + ", " + BackgroundLoad.summary(attempts));
        FleetTesting.assertConsistentWithRecords(fleet, attempts);
        Set<String> neverSent = refusedBeforeSending();
        List<AttemptRecord> unknown = BackgroundLoad.unknown(attempts).stream()
                .filter(attempt -> !neverSent.contains(attempt.attemptId()))
                .toList();
        assertEquals(List.of(), unknown, unknown.size() + " calls were interrupted");
        List<RequestRecord> unfinished = fleet.records().stream()
                .filter(request -> !request.state().equals("answered"))
                .toList();
        assertEquals(
                List.of(), unfinished, unfinished.size() + " requests that a backend server received did not finish");
        List<AttemptRecord> unconnected = attempts.stream()
                .filter(GracefulStopTest::failedToConnect)
                .filter(attempt -> !isDown(attempt.entry(), attempt.startedAt()))
                .toList();
        assertEquals(List.of(), unconnected, unconnected.size() + " attempts failed to connect to a node that was up");
        assertMostAnswered(attempts);
    }

    /** Does not count requests that only fetch a ticket, and attempts that failed to connect. */
    private static void assertMostAnswered(List<AttemptRecord> attempts) {
        long calls = attempts.stream()
                .filter(attempt -> attempt.result() != ResultCode.TICKET_REQUIRED.number() && !failedToConnect(attempt))
                .count();
        long whole =
                attempts.stream().filter(attempt -> attempt.status() == 200).count();
        assertTrue(whole > calls * MIN_ANSWERED_SHARE, whole + " of " + calls + " calls were answered");
    }

    private static boolean failedToConnect(AttemptRecord attempt) {
        return attempt.status() == 0 && attempt.run().equals(RunState.NOT_RUN.label());
    }

    private static boolean isDown(String entry, long time) {
        Outage outage = OUTAGES.get(entry);
        return outage != null && outage.from() <= time && time <= outage.until();
    }

    /** The time of a node restart, in milliseconds since 1970. */
    private record Outage(long from, long until) {}
}
