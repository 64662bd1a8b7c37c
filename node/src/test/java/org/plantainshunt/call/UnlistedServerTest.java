package org.plantainshunt.call;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.plantainshunt.configuration.VmList;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertEquals;

class UnlistedServerTest {
    private static final long LATEST_REVISION = 1_000;

    /** Guards against calls that are cut off because their server is removed from the VM list while it runs them. */
    @Test
    void runningCallIsAnsweredAlthoughItsServerIsNoLongerListed() throws Exception {
        FakeFleet fleet = new FakeFleet(1);
        FakeVm front = fleet.vms.get("front-1");
        List<ResultCode> codes = new ArrayList<>();
        front.entry.call(fleet.lookup("w"), reply -> codes.add(reply.code()));
        while (fleet.runs.isEmpty()) {
            fleet.runUntil(fleet.now() + FakeFleet.MILLISECOND);
        }
        front.applyVmList(new VmList(LATEST_REVISION, List.of()));
        fleet.runUntil(fleet.now() + 2_000 * FakeFleet.MILLISECOND);
        assertEquals(List.of(ResultCode.ANSWERED), codes);
    }
}
