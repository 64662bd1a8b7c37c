package org.plantainshunt.call;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Checks at-most-once execution, correct run states in refusals, complete answers and the retry limit under random
 * schedules of kills, restarts, freezes, cut connections and lost backend servers. jqwik prints the seed of a failing
 * schedule.
 */
class FaultScheduleTest {
    private static final int PUSHES = 30;
    private static final int BROWSES = 30;
    private static final int DELIVERIES = 4;
    private static final int CALLS_IN_TREE = 3;
    private static final int ALLOWANCE = 3;
    private static final long FAULT_PERIOD = 3_000 * FakeFleet.MILLISECOND;
    private static final long END_TIME = 20_000 * FakeFleet.MILLISECOND;

    @Property(tries = 150, seed = "20261204")
    void pushesRunAtMostOnceAndRunStatesAreCorrect(@ForAll long seed) throws Exception {
        FakeFleet fleet = new FakeFleet(seed);
        List<Push> pushes = new ArrayList<>();
        for (int i = 0; i < PUSHES; i++) {
            Push push = new Push(fleet, "push-" + i);
            pushes.add(push);
            fleet.schedule(fleet.random.nextLong(FAULT_PERIOD), push::requestTicket);
        }
        scheduleFaults(fleet);
        fleet.runUntil(END_TIME);
        for (Push push : pushes) {
            int runs = fleet.runs.getOrDefault(push.work, 0);
            assertTrue(runs <= 1, () -> push.work + " ran " + runs + " times\n" + fleet.trace(push.work));
            if (push.reportedNotRun) {
                assertEquals(0, runs, () -> push.work + " was reported as not run\n" + fleet.trace(push.work));
            }
            if (push.reportedRun) {
                assertEquals(1, runs, () -> push.work + " was reported as run\n" + fleet.trace(push.work));
            }
        }
    }

    @Property(tries = 150, seed = "20261204")
    void retriesOfOneRequestAreBoundedOverTheChain(@ForAll long seed) throws Exception {
        FakeFleet fleet = new FakeFleet(seed);
        for (int i = 0; i < BROWSES; i++) {
            String work = "browse-" + i;
            fleet.schedule(fleet.random.nextLong(FAULT_PERIOD), () -> fleet.randomVm()
                    .call("browse", work, Optional.empty(), 1, reply -> checkAnswer(work, reply)));
        }
        scheduleFaults(fleet);
        fleet.runUntil(END_TIME);
        fleet.runs.forEach((work, runs) -> assertTrue(
                runs <= CALLS_IN_TREE + ALLOWANCE,
                () -> work + " ran " + runs + " times in its call tree\n" + fleet.trace(work)));
    }

    private static void checkAnswer(String work, CallReply reply) {
        if (reply.refusal().isEmpty()) {
            assertEquals(work, new String(reply.body(), StandardCharsets.UTF_8), "an answer of another request");
        }
    }

    private static void scheduleFaults(FakeFleet fleet) {
        for (long time = 0; time < FAULT_PERIOD; time += fleet.randomDelay(200)) {
            FakeVm vm = fleet.randomVm();
            switch (fleet.random.nextInt(4)) {
                case 0:
                    fleet.schedule(time, vm::kill);
                    fleet.schedule(time + fleet.randomDelay(300), () -> restart(vm));
                    break;
                case 1:
                    fleet.schedule(time, () -> vm.freeze(fleet.randomDelay(1500)));
                    break;
                case 2:
                    fleet.schedule(time, () -> new ArrayList<>(vm.connections).forEach(FakeConnection::cut));
                    break;
                default:
                    fleet.schedule(time, () -> vm.backendServer.kill(fleet.randomDelay(300)));
                    break;
            }
        }
    }

    private static void restart(FakeVm vm) {
        if (vm.incarnation == 0) {
            vm.start();
        }
    }

    /** A caller that sends its push with one ticket several times through random nodes. */
    private static final class Push {
        private final FakeFleet fleet;
        private final String work;
        private boolean reportedNotRun;
        private boolean reportedRun;

        Push(FakeFleet fleet, String work) {
            this.fleet = fleet;
            this.work = work;
        }

        void requestTicket() {
            fleet.randomVm().call("push", work, Optional.empty(), 1, reply -> {
                if (reply.code() == ResultCode.TICKET_REQUIRED) {
                    deliver(reply.ticket().orElseThrow());
                }
            });
        }

        /** Sends the same ticket several times through random nodes; the deliveries may overlap. */
        private void deliver(String ticket) {
            for (int i = 0; i < DELIVERIES; i++) {
                int attempt = i + 1;
                fleet.schedule(i * fleet.randomDelay(400), () -> fleet.randomVm()
                        .call("push", work, Optional.of(ticket), attempt, this::replied));
            }
        }

        private void replied(CallReply reply) {
            fleet.log(work + " receives " + reply.code() + " "
                    + reply.refusal().map(Object::toString).orElse(""));
            reportedNotRun |= reply.code().runState() == RunState.NOT_RUN;
            if (reply.refusal().isEmpty()) {
                reportedRun = true;
                assertEquals(work, new String(reply.body(), StandardCharsets.UTF_8), "an answer of another request");
            }
        }
    }
}
