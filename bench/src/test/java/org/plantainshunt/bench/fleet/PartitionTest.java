package org.plantainshunt.bench.fleet;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.DocumentVersion;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.standins.KindLoad;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks at-most-once runs, service on both sides and document distribution when two regions are partitioned. */
class PartitionTest {
    private static final long SEED = Long.getLong("plantainshunt.fleet.seed", 20_261_204);
    /** The required time until a document is in force everywhere, counted from the end of the partition. */
    private static final Duration BOUND = Duration.ofSeconds(9);

    private static final Duration PARTITION =
            Duration.ofSeconds(Integer.getInteger("plantainshunt.fleet.partition-seconds", 3));
    private static final int CALLERS = 6;
    private static final int LATE_REPEATS = 30;

    private static FleetDocument document;
    private static Fleet fleet;

    @BeforeAll
    static void startFleet() throws Exception {
        document = FleetTesting.document();
        fleet = Fleet.startWithRelays(FleetPlan.small(document), FleetTesting.directory("partition"));
        fleet.awaitReady(FleetTesting.START_TIMEOUT);
    }

    @AfterAll
    static void stopFleet() {
        if (fleet != null) {
            fleet.close();
        }
    }

    /** Guards against a ticket that runs on both sides, a side that stops serving, and a side with an old document. */
    @Test
    void servesOnBothSidesAndCatchesUpAfterThePartition() throws Exception {
        byte[] next = FleetTesting.documentText(2).getBytes(StandardCharsets.UTF_8);
        DocumentVersion newer = Document.parse(next).version();
        List<FleetVm> north = vmsInRegion("north");
        List<FleetVm> south = vmsInRegion("south");
        try (StatusMonitor monitor = new StatusMonitor(fleet.vms());
                RepeatingCallers callers = new RepeatingCallers(
                        fleet.callerAddresses(),
                        List.of(
                                FleetTesting.load(document, "recorder", "upload"),
                                FleetTesting.load(document, "archive", "store")))) {
            callers.start(CALLERS, SEED);
            Thread.sleep(1_000);
            split(north, south);
            long splitAt = System.currentTimeMillis();
            fleet.platform().publish(next);
            FleetTesting.await(
                    "the side of the platform has the document", BOUND, () -> monitor.allHaveVersion(north, newer));
            Thread.sleep(Math.max(0, splitAt + PARTITION.toMillis() - System.currentTimeMillis()));
            assertAnswers(north);
            assertAnswers(south);
            for (FleetVm vm : south) {
                assertEquals(1, monitor.version(vm).orElseThrow().number(), "a document crossed the partition");
            }
            long healedAt = System.currentTimeMillis();
            // The link from the south to the platform stays cut, so that the document has to come from the north.
            fleet.relays().links().heal();
            FleetTesting.await("both sides have the document", BOUND, () -> monitor.allHaveVersion(fleet.vms(), newer));
            System.out.println("caught up " + (System.currentTimeMillis() - healedAt) + " ms after the partition");
            callers.finish();
            callers.repeatEarlier(LATE_REPEATS, SEED);
            System.out.println("seed " + SEED + ", " + BackgroundLoad.summary(callers.attempts()));
            FleetTesting.assertConsistentWithRecords(fleet, callers.attempts());
            assertEquals(List.of(), List.copyOf(monitor.reversions()));
            assertTrue(
                    callers.caller().count(ResultCode.OUTCOME_UNKNOWN) > 0, "no ticket was affected by the partition");
            assertServedWork(north, splitAt, healedAt);
            assertServedWork(south, splitAt, healedAt);
        }
    }

    private static void split(List<FleetVm> north, List<FleetVm> south) throws Exception {
        String northern = addressPrefix(north);
        String southern = addressPrefix(south);
        fleet.relays().links().cut(northern, southern);
        fleet.relays().links().cut(southern, northern);
        fleet.relays().platformLink(south.get(0).dataCentre()).cut("", "");
    }

    private static void assertAnswers(List<FleetVm> side) throws Exception {
        // Each probe has its own work id, so that no probe looks like a retry of another.
        AtomicLong probes = new AtomicLong(System.nanoTime());
        RecordingCaller caller = new RecordingCaller();
        KindLoad lookup = FleetTesting.load(document, "archive", "lookup");
        for (FleetVm vm : side) {
            FleetTesting.await(vm.name() + " answers", Duration.ofSeconds(3), () -> caller.send(
                            vm.callerAddress(), lookup, "side" + probes.incrementAndGet(), "")
                    .whole());
        }
    }

    /** Fails if the backend servers of a side completed no at-most-once work during the partition. */
    private static void assertServedWork(List<FleetVm> side, long from, long to) throws Exception {
        List<String> names = side.stream().map(FleetVm::name).toList();
        boolean worked = fleet.records().stream()
                .anyMatch(request -> names.contains(request.server())
                        && request.kind().equals("store")
                        && request.state().equals("answered")
                        && request.receivedAt() > from
                        && request.endedAt() < to);
        assertTrue(worked, "no work was completed at " + names + " during the partition");
    }

    private static List<FleetVm> vmsInRegion(String region) {
        List<FleetVm> side =
                fleet.vms().stream().filter(vm -> vm.region().equals(region)).toList();
        assertFalse(side.isEmpty());
        return side;
    }

    /** Returns the part of the addresses that the VMs of a data centre have in common, such as {@code 127.5.1.}. */
    private static String addressPrefix(List<FleetVm> vms) {
        String host = vms.get(0).innerAddress().host();
        return host.substring(0, host.lastIndexOf('.') + 1);
    }
}
