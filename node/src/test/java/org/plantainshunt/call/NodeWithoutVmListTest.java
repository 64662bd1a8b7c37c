package org.plantainshunt.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests calls that arrive at a node that has a configuration but no VM list yet. */
class NodeWithoutVmListTest {
    private final List<Refusal> refusals = new ArrayList<>();
    private FakeVm starting;

    @BeforeEach
    void startNode() throws Exception {
        FakeFleet fleet = new FakeFleet(1);
        starting = fleet.vms.get("front-1");
        starting.kill();
        starting.startWithoutVmList();
    }

    /** Guards against a refusal that reports an unavailable service before the node knows its VMs. */
    @Test
    void callIsRefusedAsNodeIsNotReady() {
        call("browse", Optional.empty());
        assertEquals(ResultCode.NOT_READY, refusals.get(0).code());
    }

    /**
     * Guards against a refusal that reports the ticket's VM as unknown while the node has no VM list, and against "not
     * run" after an earlier delivery.
     */
    @Test
    void callWithTicketIsRefusedAsUnknownBecauseNodeIsNotReady() {
        call("push", Optional.of("front-1.1.1"));
        assertEquals(RunState.UNKNOWN, refusals.get(0).code().runState());
        assertTrue(
                refusals.get(0).detail().contains("this one met " + ResultCode.NOT_READY.number()),
                refusals.get(0).detail());
    }

    private void call(String kind, Optional<String> ticket) {
        starting.call(
                kind, "w", ticket, 1, reply -> refusals.add(reply.refusal().orElseThrow()));
    }
}
