package org.plantainshunt.routing;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.plantainshunt.routing.RoutingModel.Scenario;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Plays many entry nodes, each of which sees one call in a hundred, in eight data centres of two regions. */
class PlacementAtSizeTest {
    private static final long SECOND = RoutingModel.SECOND;
    private static final int NODES = 98;
    /** The share of calls that stays in a data centre with room; servers that look slow for a while take the rest. */
    private static final double LOCAL_SHARE = 0.8;

    private static final int DATA_CENTRES = 8;
    /** Three times the usual eighth of the calls enter in the first data centre. */
    private static final double CROWDING = 0.286;

    private static final long LONG_SERVICE = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long MEDIUM_SERVICE = TimeUnit.MILLISECONDS.toNanos(140);
    private static final long SHORT_SERVICE = TimeUnit.MILLISECONDS.toNanos(70);

    /** Guards against traffic between data centres that have room for their own calls. */
    @Test
    void callsStayInTheirDataCentreWhileItHasRoom() {
        RoutingModel model = play(38, 46, 0.5, LONG_SERVICE, 0, 1);
        assertTrue(
                model.shareInOwnDataCentre() >= LOCAL_SHARE,
                "share in the own data centre " + model.shareInOwnDataCentre());
    }

    /** Guards against leaving a server with free slots because this node alone has more calls there than elsewhere. */
    @Test
    void callsOfSmallFleetStayInTheirDataCentreToo() {
        Scenario scenario = new Scenario(16, 69, 0.35, 1, RoutingModel.fourDataCentres(), MEDIUM_SERVICE, 0, 0);
        RoutingModel model = new RoutingModel(scenario, RoutingModel::backendServerChoice, 1).run(40 * SECOND);
        assertTrue(
                model.shareInOwnDataCentre() >= LOCAL_SHARE,
                "share in the own data centre " + model.shareInOwnDataCentre());
        assertNoQueues(model, MEDIUM_SERVICE, 0.35);
    }

    /** Guards against queues at one server while others of the region have free slots. */
    @Test
    void noServerQueuesWhileOthersHaveRoom() {
        for (long seed = 1; seed <= 3; seed++) {
            for (double utilisation : new double[] {0.5, 0.8, 0.9}) {
                assertNoQueues(play(38, 46, utilisation, LONG_SERVICE, 0, seed), LONG_SERVICE, utilisation);
                assertNoQueues(play(8, 28, utilisation, SHORT_SERVICE, 0, seed), SHORT_SERVICE, utilisation);
            }
        }
    }

    /** Guards against queues in a data centre whose callers have become three times as many. */
    @Test
    void crowdedDataCentreUsesTheRoomOfOthers() {
        for (long seed = 1; seed <= 3; seed++) {
            assertNoQueues(play(38, 46, 0.6, LONG_SERVICE, CROWDING, seed), LONG_SERVICE, 0.6);
            assertNoQueues(play(8, 28, 0.6, SHORT_SERVICE, CROWDING, seed), SHORT_SERVICE, 0.6);
        }
    }

    /** Without queues, the p99 of the service time is 3.3 times its mean, and of the way to another region 37 ms. */
    private static void assertNoQueues(RoutingModel model, long meanService, double utilisation) {
        double bound = 1.2 * (3.32 * meanService / RoutingModel.MILLISECOND + 37);
        System.out.printf(
                "%d servers at %.0f %%: p99 %.1f ms (bound %.1f), %.0f %% in the own data centre, busiest/mean %.2f%n",
                model.served.length,
                100 * utilisation,
                model.latencyMilliseconds(99),
                bound,
                100 * model.shareInOwnDataCentre(),
                model.busiestToMean());
        assertTrue(model.latencyMilliseconds(99) <= bound, "p99 " + model.latencyMilliseconds(99));
    }

    private static RoutingModel play(
            int servers, int slots, double utilisation, long meanService, double crowding, long seed) {
        Scenario scenario = new Scenario(
                NODES, slots, utilisation, 1, RoutingModel.twoRegions(DATA_CENTRES, servers), meanService, 0, crowding);
        return new RoutingModel(scenario, RoutingModel::backendServerChoice, seed).run(40 * SECOND);
    }
}
