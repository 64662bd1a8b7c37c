package org.plantainshunt.call;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.plantainshunt.protocol.CancelHandle;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CancelledCallTest {
    private static final String WORK = "w";

    /**
     * Guards against a request that reaches a backend server although its caller cancelled it while the connection was
     * being opened.
     */
    @Test
    void callCancelledBeforeItsConnectionOpensIsNeverSent() throws Exception {
        FakeFleet fleet = new FakeFleet(1);
        List<CallReply> replies = new ArrayList<>();
        CancelHandle handle = fleet.vms.get("front-1").entry.call(fleet.lookup(WORK), replies::add);
        handle.cancel();
        fleet.runUntil(2_000 * FakeFleet.MILLISECOND);
        assertEquals(
                List.of(ResultCode.CANCELLED_RUNNING),
                replies.stream().map(CallReply::code).toList());
        assertTrue(fleet.runs.isEmpty(), "the backend server ran " + fleet.runs);
    }

    /** Shows that the same call runs if it is not cancelled. */
    @Test
    void callRunsIfNotCancelled() throws Exception {
        FakeFleet fleet = new FakeFleet(1);
        fleet.vms.get("front-1").entry.call(fleet.lookup(WORK), reply -> {});
        fleet.runUntil(2_000 * FakeFleet.MILLISECOND);
        assertEquals(1, fleet.runs.get(WORK));
    }
}
