package org.plantainshunt.bench.fleet;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.plantainshunt.standins.AttemptRecord;
import org.plantainshunt.standins.RequestRecord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that a backend server receives no new work later than 3 s after a single signal that it leaves. */
class LeavingNoNewWorkTest {
    private static final long SEED = Long.getLong("plantainshunt.fleet.seed", 20_261_204);
    /** The required time after which a leaving backend server receives no new work. */
    private static final Duration BOUND = Duration.ofSeconds(3);

    private static final Duration LOAD_BEFORE = Duration.ofSeconds(1);
    private static final Duration LOAD_AFTER = Duration.ofSeconds(4);

    private static FleetDocument document;
    private static Fleet fleet;

    @BeforeAll
    static void startFleet() throws Exception {
        document = FleetTesting.documentWithGenerousLimits();
        fleet = Fleet.start(FleetPlan.small(document), FleetTesting.directory("leaving"));
        fleet.awaitReady(FleetTesting.START_TIMEOUT);
    }

    @AfterAll
    static void stopFleet() {
        if (fleet != null) {
            fleet.close();
        }
    }

    /** Guards against nodes that prefer the state in the VM list, live, to the health report of the backend server. */
    @Test
    void sendsNoNewWorkToADrainingServerThatTheVmListCallsLiveWhileThePlatformIsDown() throws Exception {
        fleet.platform().setMode("down");
        try {
            assertLeaves(fleet.vms("archive").get(0), FleetVm::drain);
        } finally {
            fleet.platform().setMode("ok");
        }
    }

    /** Guards against nodes that wait for the health report of a backend server that the VM list shows as leaving. */
    @Test
    void sendsNoNewWorkToAServerThatOnlyTheVmListCallsLeaving() throws Exception {
        assertLeaves(fleet.vms("recorder").get(0), vm -> fleet.setLeaving(vm, true));
    }

    private static void assertLeaves(FleetVm vm, LeavingSignal signal) throws Exception {
        Duration duration = LOAD_BEFORE.plus(LOAD_AFTER);
        BackgroundLoad load = BackgroundLoad.start(
                "leaving-" + vm.name(), fleet.callerAddresses(), FleetTesting.loads(document, 20), duration, SEED);
        Thread.sleep(LOAD_BEFORE.toMillis());
        long leavingSince = System.currentTimeMillis();
        signal.send(vm);
        List<AttemptRecord> attempts = load.await();
        System.out.println("seed " + SEED + ", " + BackgroundLoad.summary(attempts));
        FleetTesting.assertConsistentWithRecords(fleet, attempts);
        checkRecords(vm, leavingSince);
    }

    private static void checkRecords(FleetVm vm, long leavingSince) throws Exception {
        List<RequestRecord> requests = fleet.records().stream()
                .filter(request -> request.server().equals(vm.name()))
                .toList();
        long last = requests.stream().mapToLong(RequestRecord::receivedAt).max().orElse(0) - leavingSince;
        long otherLast = fleet.records().stream()
                        .filter(request -> fleet.vms(vm.service()).stream()
                                .anyMatch(other -> other != vm && other.name().equals(request.server())))
                        .mapToLong(RequestRecord::receivedAt)
                        .max()
                        .orElse(0)
                - leavingSince;
        System.out.println(vm.name() + " received its last request " + last + " ms after it began to leave");
        assertTrue(
                requests.stream().anyMatch(request -> request.receivedAt() < leavingSince),
                "no work arrived before the server began to leave");
        assertTrue(last <= BOUND.toMillis(), "work arrived " + last + " ms after the server began to leave");
        assertTrue(otherLast > BOUND.toMillis(), "the load ended too early to detect late work");
        List<RequestRecord> unfinished = requests.stream()
                .filter(request -> request.endedAt() == 0 || request.state().equals("cancelled"))
                .toList();
        assertEquals(List.of(), unfinished, "requests in flight did not finish");
    }

    /** Signals to the nodes that a backend server is leaving. */
    @FunctionalInterface
    private interface LeavingSignal {
        void send(FleetVm vm) throws Exception;
    }
}
