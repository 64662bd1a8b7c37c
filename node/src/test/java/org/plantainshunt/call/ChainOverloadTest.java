package org.plantainshunt.call;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Plays overloads of a service that requests need several times, at 4, 16 and 98 nodes. */
class ChainOverloadTest {
    private static final long SEED = 7;
    private static final int SECONDS = 20;
    private static final int COUNTED_FROM = 5;
    private static final int COUNTED_TO = SECONDS - 3;

    /** The bound of the brief for goodput under overload, as a share of the capacity. */
    private static final double MIN_GOODPUT = 0.9;

    /** The share of the slots up to which the servers of the scarce service are not slower. */
    private static final double BEST_SHARE_OF_SLOTS = 26.0 / 28;

    /** Guards against capacity lost to calls that run while their server is nearly full. */
    @ParameterizedTest
    @CsvSource({"1, 1, 1.2", "4, 4, 1.2", "30, 8, 1.2", "1, 1, 1.5", "4, 4, 1.5", "30, 8, 1.5"})
    void goodputHoldsIfServersAreSlowerWhenNearlyFull(int servers, int scarceServers, double load) throws Exception {
        ChainFleet fleet = new ChainFleet(SEED, servers, scarceServers, SECONDS);
        fleet.slowDownWhenNearlyFull();
        fleet.load(0, SECONDS, load);
        fleet.run();
        double goodput = fleet.goodput(COUNTED_FROM, COUNTED_TO);
        assertTrue(goodput > MIN_GOODPUT * BEST_SHARE_OF_SLOTS, "goodput " + goodput);
    }

    /** Guards against a region that refuses while the other has free slots: its two servers are the slower ones. */
    @Test
    @Tag("known-red")
    void goodputHoldsIfTheRegionsDifferInCapacity() throws Exception {
        ChainFleet fleet = new ChainFleet(SEED, 4, 4, SECONDS, 2);
        fleet.load(0, SECONDS, 1.2);
        fleet.run();
        double goodput = fleet.goodput(COUNTED_FROM, COUNTED_TO);
        assertTrue(goodput > MIN_GOODPUT, "goodput " + goodput);
    }

    /** Guards against refusals of requests that fail for another cause, and against refusals after it has ended. */
    @ParameterizedTest
    @CsvSource({"1, 1", "4, 4", "30, 8"})
    void requestsAreNotRefusedForFailuresWithoutOverload(int servers, int scarceServers) throws Exception {
        ChainFleet fleet = new ChainFleet(SEED, servers, scarceServers, SECONDS);
        fleet.load(0, SECONDS, 0.6);
        fleet.reject(3, 11.5, 0.55);
        fleet.run();
        assertEquals(0, fleet.refusedShare(ChainFleet.BROWSE, 4, 11), "while servers reject calls");
        double before = fleet.goodput(1, 3);
        double after = fleet.goodput(13, COUNTED_TO);
        assertTrue(after > 0.95 * before, "goodput " + after + " after the rejections, " + before + " before");
    }

    /** Guards against capacity spent on requests that are refused after some of their calls were answered. */
    @ParameterizedTest
    @CsvSource({"1, 1", "4, 4", "30, 8"})
    void laterCallsOfRequestsAreNotRefused(int servers, int scarceServers) throws Exception {
        ChainFleet fleet = new ChainFleet(SEED, servers, scarceServers, SECONDS);
        fleet.load(0, SECONDS, 1.2);
        fleet.run();
        assertEquals(0, fleet.laterCallsRefused());
    }
}
