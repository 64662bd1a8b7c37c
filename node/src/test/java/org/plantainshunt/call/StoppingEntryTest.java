package org.plantainshunt.call;

import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.plantainshunt.result.RunState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/** Checks the replies to calls that are open when their entry node stops. */
class StoppingEntryTest {
    private static final int SEEDS = 50;
    private static final int CALLS = 60;
    private static final long STOP_AT = 20 * FakeFleet.MILLISECOND;
    private static final long CALLS_END_AT = 120 * FakeFleet.MILLISECOND;
    /** The end of the calls, the time for the serving nodes' results, and a tick. */
    private static final long REPLIED_BY = CALLS_END_AT + 160 * FakeFleet.MILLISECOND;

    /** The serving nodes freeze up to this time after the start, and hold calls that wait until after the stop. */
    private static final int FREEZE_MILLISECONDS = 100;

    private static final long LATER = 3_000 * FakeFleet.MILLISECOND;

    /** Guards against calls without a reply, and against "not run" for calls that ran or run after the stop. */
    @Test
    void callsThatWaitAtOtherNodesAreRefusedBeforeTheProcessEnds() throws Exception {
        for (long seed = 1; seed <= SEEDS; seed++) {
            FakeFleet fleet = new FakeFleet(seed);
            EntrySide entry = fleet.vms.get("front-1").entry;
            Map<String, CallReply> replies = new HashMap<>();
            for (int number = 0; number < CALLS; number++) {
                String work = "w" + number;
                boolean beforeStop = number < CALLS / 2;
                fleet.schedule(
                        beforeStop ? 0 : 2 * STOP_AT,
                        () -> entry.call(fleet.lookup(work), reply -> replies.put(work, reply)));
            }
            fleet.schedule(STOP_AT, () -> entry.stop(CALLS_END_AT));
            fleet.schedule(fleet.randomDelay(FREEZE_MILLISECONDS), () -> freezeServingNodes(fleet));
            fleet.runUntil(REPLIED_BY);
            assertEquals(CALLS, replies.size(), "replies, seed " + seed);
            fleet.vms.get("front-1").kill();
            fleet.runUntil(LATER);
            replies.forEach((work, reply) -> {
                if (reply.code().runState() == RunState.NOT_RUN) {
                    assertFalse(fleet.runs.containsKey(work), work + " ran and got " + reply.code());
                }
            });
        }
    }

    private static void freezeServingNodes(FakeFleet fleet) {
        fleet.vms.get("deep-1").freeze(LATER / 2);
        fleet.vms.get("deep-2").freeze(LATER / 2);
    }
}
