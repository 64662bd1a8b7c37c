package org.plantainshunt.bench.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.standins.KindLoad;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Checks the invariants AT_MOST_ONCE and NOT_RUN_HONEST of {@link org.plantainshunt.bench.InvariantChecker} while
 * processes are killed, frozen past the deadline and restarted.
 *
 * <p>The system properties {@code plantainshunt.fleet.seed} and {@code plantainshunt.fleet.rounds} set the seed
 * and the number of rounds of the failure schedule.
 */
class AtMostOnceUnderFailuresTest {
    private static final long SEED = Long.getLong("plantainshunt.fleet.seed", 20_261_204);
    private static final int ROUNDS = Integer.getInteger("plantainshunt.fleet.rounds", 2);
    private static final int CALLERS = 8;
    /** Longer than the deadline of every kind, so that frozen processes resume with calls whose deadline has passed. */
    private static final Duration FREEZE = Duration.ofMillis(2_300);

    private static final int LATE_REPEATS = 40;

    private static FleetDocument document;
    private static Fleet fleet;

    @BeforeAll
    static void startFleet() throws Exception {
        document = FleetTesting.document();
        fleet = Fleet.start(FleetPlan.small(document), FleetTesting.directory("at-most-once"));
        fleet.awaitReady(FleetTesting.START_TIMEOUT);
    }

    @AfterAll
    static void stopFleet() {
        if (fleet != null) {
            fleet.close();
        }
    }

    /** Guards against a ticket that runs again, or is wrongly reported as "not run", after a restart or a freeze. */
    @Test
    void runsNoTicketTwiceWhileProcessesAreKilledAndFrozen() throws Exception {
        System.out.println("seed " + SEED + ", rounds " + ROUNDS);
        try (RepeatingCallers callers = new RepeatingCallers(
                fleet.callerAddresses(),
                List.of(
                        FleetTesting.load(document, "recorder", "upload"),
                        FleetTesting.load(document, "archive", "store")))) {
            callers.start(CALLERS, SEED);
            List<FleetVm> order = new ArrayList<>(fleet.vms());
            Collections.shuffle(order, new Random(SEED));
            for (int round = 0; round < ROUNDS; round++) {
                injectFailures(order);
                Collections.rotate(order, 1);
            }
            callers.finish();
            fleet.awaitReady(FleetTesting.START_TIMEOUT);
            callers.repeatEarlier(LATE_REPEATS, SEED);
            print(callers.caller());
            FleetTesting.assertConsistentWithRecords(fleet, callers.attempts());
            RecordingCaller caller = callers.caller();
            assertTrue(caller.count(ResultCode.ANSWERED) > 50, "too few requests were answered for a valid check");
            assertTrue(
                    caller.count(ResultCode.ANSWERED_AGAIN) > 10,
                    "too few repeats were answered with a stored outcome");
            assertTrue(
                    caller.count(ResultCode.TICKET_EXPIRED_OR_FOREIGN) > 0,
                    "no ticket was used after the node that issued it had restarted");
        }
    }

    /** Guards against a ticket that runs after it was reported as "not run": the refusal must void it. */
    @Test
    void voidsATicketWhoseBackendServerRefusesConnections() throws Exception {
        FleetVm vm = fleet.vms("archive").get(0);
        KindLoad store = FleetTesting.load(document, "archive", "store");
        RecordingCaller caller = new RecordingCaller();
        String ticket = caller.send(vm.callerAddress(), store, "refused", "")
                .freshTicket()
                .orElseThrow();
        FleetVm issuer = fleet.vms().stream()
                .filter(each -> ticket.startsWith(each.name() + "."))
                .findFirst()
                .orElseThrow();
        issuer.killBackendServer();
        RecordingCaller.Reply first = caller.send(vm.callerAddress(), store, "refused", ticket);
        issuer.startBackendServer();
        fleet.awaitReady(FleetTesting.START_TIMEOUT);
        RecordingCaller.Reply repeat = caller.send(vm.callerAddress(), store, "refused", ticket);
        FleetTesting.assertConsistentWithRecords(fleet, caller.attempts());
        assertEquals(ResultCode.CONNECT_FAILED.number(), first.result(), first.toString());
        assertEquals(ResultCode.TICKET_VOID.number(), repeat.result(), repeat.toString());
    }

    /** Freezes one VM's node and another's backend server while a third's node and a fourth's server are killed. */
    private static void injectFailures(List<FleetVm> order) throws Exception {
        order.get(0).freezeNode();
        order.get(1).freezeBackendServer();
        order.get(2).killNode();
        order.get(3).killBackendServer();
        order.get(2).startNode();
        order.get(3).startBackendServer();
        Thread.sleep(FREEZE.toMillis());
        order.get(0).resumeNode();
        order.get(1).resumeBackendServer();
        fleet.awaitReady(FleetTesting.START_TIMEOUT);
        Thread.sleep(500);
    }

    private static void print(RecordingCaller caller) throws Exception {
        StringBuilder text = new StringBuilder();
        for (ResultCode code : ResultCode.values()) {
            if (caller.count(code) > 0) {
                text.append(' ').append(code).append(' ').append(caller.count(code));
            }
        }
        System.out.println(
                caller.attempts().size() + " attempts, " + fleet.records().size() + " records:" + text);
    }
}
