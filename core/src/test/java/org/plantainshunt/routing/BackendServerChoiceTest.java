package org.plantainshunt.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.routing.RoutingModel.Choice;
import org.plantainshunt.routing.RoutingModel.Scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against outdated reports, thundering herds, cold servers, black holes and slowed servers. */
class BackendServerChoiceTest {
    private static final long MILLISECOND = RoutingModel.MILLISECOND;
    private static final long SECOND = RoutingModel.SECOND;
    private static final long SEED = 7;

    /** The bound of the brief for the recovery of goodput. */
    private static final int MAX_RECOVERY_SECONDS = 5;

    private final List<Upstream> upstreams = new ArrayList<>();
    private final BackendServerChoice choice = new BackendServerChoice(new Random(SEED));
    private long calls;

    /** A slowed server must not raise the p99 by more than half, although its load reports arrive 5 s late. */
    @Test
    void avoidsOneSlowedServerOfFour() {
        for (int nodes : new int[] {1, 4, 16, 64}) {
            for (int slots : new int[] {12, 130}) {
                Scenario scenario = new Scenario(nodes, slots, 0.6, 1, RoutingModel.oneRegion());
                if (nodes == 16) {
                    measure("round robin", scenario, RoutingModel::roundRobin);
                    measure("least outstanding of two", scenario, RoutingModel::leastOutstandingOfTwo);
                }
                assertAtMostHalfMore(measure("this choice", scenario, RoutingModel::backendServerChoice));
            }
        }
    }

    /**
     * The same bound must hold where the slowed server leaves its region with a load of 120 %.
     *
     * <p>A sixth of the region's calls must take a detour of 37 ms, which leaves little margin with few slots.
     */
    @Test
    void avoidsOneSlowedServerOfTwoInRegion() {
        for (int nodes : new int[] {4, 16, 64}) {
            Scenario scenario = new Scenario(nodes, 130, 0.6, 1, RoutingModel.fourDataCentres());
            if (nodes == 16) {
                measure("two regions, round robin", scenario, RoutingModel::roundRobin);
                measure("two regions, least outstanding of two", scenario, RoutingModel::leastOutstandingOfTwo);
            }
            assertAtMostHalfMore(measure("two regions, this choice", scenario, RoutingModel::backendServerChoice));
            Scenario small = new Scenario(nodes, 12, 0.6, 1, RoutingModel.fourDataCentres());
            assertAtMostHalfMore(measure("two regions, this choice", small, RoutingModel::backendServerChoice));
        }
    }

    /** The same with few slots must not depend on the seed; listed in KNOWN-RED.txt. */
    @Test
    @Tag("known-red")
    void avoidsOneSlowedServerOfTwoInRegionWithFewSlotsForEverySeed() {
        Scenario small = new Scenario(4, 12, 0.6, 1, RoutingModel.fourDataCentres());
        for (long seed = SEED; seed < SEED + 8; seed++) {
            assertAtMostHalfMore(measure("two regions, seed " + seed, small, RoutingModel::backendServerChoice, seed));
        }
    }

    private static void assertAtMostHalfMore(double ratio) {
        assertTrue(ratio <= 1.5, "p99 ratio " + ratio);
    }

    private static double measure(String name, Scenario scenario, Function<Random, Choice> choiceFactory) {
        return measure(name, scenario, choiceFactory, SEED);
    }

    private static double measure(String name, Scenario scenario, Function<Random, Choice> choiceFactory, long seed) {
        RoutingModel usual = new RoutingModel(scenario, choiceFactory, seed).run(40 * SECOND);
        RoutingModel slowed = new RoutingModel(scenario.slowed(10), choiceFactory, seed).run(40 * SECOND);
        double ratio = slowed.latencyMilliseconds(99) / usual.latencyMilliseconds(99);
        System.out.printf(
                "%d nodes, %d slots, %s: p99 %.1f ms, slowed p99 %.1f ms (ratio %.2f), p999 %.1f ms%n",
                scenario.nodes(),
                scenario.slots(),
                name,
                usual.latencyMilliseconds(99),
                slowed.latencyMilliseconds(99),
                ratio,
                slowed.latencyMilliseconds(99.9));
        return ratio;
    }

    /** The servers of an overloaded region must not queue calls while other regions have capacity. */
    @Test
    void spillsToAnotherRegionOnlyWhatDoesNotFit() {
        Distance[][] rows = RoutingModel.fourDataCentres();
        Distance[][] callers = {rows[0], rows[1]};
        RoutingModel full =
                new RoutingModel(new Scenario(16, 130, 0.6, 1, callers), RoutingModel::backendServerChoice, SEED);
        RoutingModel light =
                new RoutingModel(new Scenario(16, 130, 0.4, 1, callers), RoutingModel::backendServerChoice, SEED);
        double fullShare = farShare(full.run(30 * SECOND));
        double lightShare = farShare(light.run(30 * SECOND));
        System.out.printf(
                "region at 120 %%: %.1f %% spilled, p99 %.1f ms; at 80 %%: %.2f %% spilled%n",
                100 * fullShare, full.latencyMilliseconds(99), 100 * lightShare);
        assertTrue(fullShare > 1.0 / 6 && fullShare < 0.4, "share " + fullShare);
        assertTrue(full.latencyMilliseconds(99) < 200, "p99 " + full.latencyMilliseconds(99));
        assertTrue(lightShare < 0.01, "share " + lightShare);
    }

    private static double farShare(RoutingModel model) {
        long far = model.served[2] + model.served[3];
        return (double) far / (far + model.served[0] + model.served[1]);
    }

    /** A server that looks idle must not attract the calls of all nodes at once. */
    @Test
    void idleServerGetsAtMostHalfOfTheCalls() {
        create(4);
        for (Upstream busy : upstreams.subList(1, 4)) {
            for (int call = 0; call < 20; call++) {
                busy.started(calls++, 0);
            }
            busy.reported(130, 200, 0);
        }
        upstreams.get(0).reported(0, 0, 0);
        assertEquals(0.5, share(upstreams.get(0), MILLISECOND), 0.02);
    }

    /** A server that refuses all calls immediately has the fewest outstanding calls and must not attract the work. */
    @Test
    void refusingServerDoesNotAttractWork() {
        create(4);
        int refused = 0;
        for (int call = 0; call < 1_000; call++) {
            Upstream chosen = choose(call * MILLISECOND);
            boolean refuses = chosen == upstreams.get(0);
            refused += refuses ? 1 : 0;
            chosen.started(call, call * MILLISECOND);
            if (refuses) {
                chosen.ended(call, UpstreamEnd.REFUSED, call * MILLISECOND);
            } else if (call >= 20) {
                upstreams.forEach(each -> each.ended(calls, UpstreamEnd.ANSWERED, calls * MILLISECOND + 20));
                calls++;
            }
        }
        assertTrue(refused < 100, refused + " of 1000 calls were refused");
    }

    /** A cold server must not receive a full share immediately, but must reach it. */
    @Test
    void coldServerStartsWithTenthOfItsShare() {
        create(4);
        upstreams.get(0).newIncarnation(5, 0);
        double first = share(upstreams.get(0), MILLISECOND);
        double half = share(upstreams.get(0), 5 * SECOND);
        double last = share(upstreams.get(0), 10 * SECOND);
        assertTrue(first < 0.05, "first " + first);
        assertTrue(half > 0.08 && half < 0.2, "half " + half);
        assertEquals(0.25, last, 0.02);
    }

    /** Guards against overloaded peers of a running server that gets few calls because its node was restarted. */
    @Test
    void runningServerIsBackSoonAfterItsNodeWasRestarted() {
        createWithInstances(4);
        upstreams.get(0).newIncarnation(5, 0);
        upstreams.get(0).newIncarnation(6, 20 * SECOND);
        assertEquals(0.25, share(upstreams.get(0), (20 + MAX_RECOVERY_SECONDS) * SECOND), 0.02);
    }

    /** Guards against a full share for a backend server that has just replaced another. */
    @Test
    void serverThatReplacedAnotherIsCold() {
        createWithInstances(4);
        Upstream first = upstreams.get(0);
        first.newIncarnation(5, 0);
        first.newIncarnation(6, 20 * SECOND);
        first.configure(instance(first, "new"), first.distance(), 4, 20 * SECOND);
        double replaced = share(first, 20 * SECOND + MILLISECOND);
        assertTrue(replaced < 0.05, "share " + replaced);
    }

    private void createWithInstances(int number) {
        create(number);
        upstreams.forEach(each -> each.configure(instance(each, "instance"), each.distance(), 4, 0));
    }

    private static Vm instance(Upstream upstream, String instance) {
        Vm vm = upstream.vm();
        return new Vm(
                vm.name(),
                vm.service(),
                vm.dataCentre(),
                vm.address(),
                vm.innerPort(),
                false,
                OptionalInt.empty(),
                Optional.of(instance));
    }

    /** A cold server is slow at first and needs calls that warm it up; a slow warm one must be detected. */
    @Test
    void coldServerIsNotMarkedSlowWhileItRampsUp() {
        create(4);
        upstreams.get(0).newIncarnation(5, 0);
        for (long now = 0; now < 12 * SECOND; now += 20 * MILLISECOND) {
            for (Upstream each : upstreams) {
                each.started(calls, now - (each == upstreams.get(0) ? 200 : 10) * MILLISECOND);
                each.ended(calls++, UpstreamEnd.ANSWERED, now);
            }
            choose(now);
            assertEquals(now >= 10 * SECOND, upstreams.get(0).slow(), "slow after " + now);
        }
    }

    /** A slow server gets one trial in 500 ms at most and none while one is outstanding. */
    @Test
    void trialsAreRareAndNeverTwoAtATime() {
        create(4);
        Upstream slow = upstreams.get(0);
        slow.trials().markSlow(0);
        List<Long> trials = new ArrayList<>();
        for (long now = MILLISECOND; now < 20 * SECOND; now += MILLISECOND) {
            Upstream chosen = choose(now);
            if (chosen == slow) {
                assertEquals(0, slow.outstanding(), "a second trial at " + now);
                slow.started(now, now);
                trials.add(now);
            }
            long duration = trials.size() % 2 == 0 ? 100 * MILLISECOND : 1_200 * MILLISECOND;
            if (slow.outstanding() == 1 && now - trials.get(trials.size() - 1) >= duration) {
                slow.ended(trials.get(trials.size() - 1), UpstreamEnd.FAILED, now);
            }
        }
        for (int index = 1; index < trials.size(); index++) {
            assertTrue(trials.get(index) - trials.get(index - 1) >= 500 * MILLISECOND, "trials " + trials);
        }
        assertTrue(trials.size() >= 10, trials.size() + " trials in 20 s");
    }

    /** A service with critical calls only must detect that its slow server has recovered. */
    @Test
    void criticalCallsBecomeTrialsIfThereAreNoOthers() {
        create(4);
        Upstream slow = upstreams.get(0);
        slow.trials().markSlow(0);
        List<Long> trials = new ArrayList<>();
        for (long now = MILLISECOND; now < 10 * SECOND && slow.slow(); now += MILLISECOND) {
            Upstream chosen = choice.choose(upstreams, Set.of(), PriorityClass.CRITICAL, now)
                    .orElseThrow();
            chosen.started(now, now);
            chosen.ended(now, UpstreamEnd.ANSWERED, now + MILLISECOND);
            if (chosen == slow) {
                trials.add(now / MILLISECOND);
            }
        }
        assertEquals(List.of(2_000L, 4_000L, 6_000L), trials);
    }

    private void create(int count) {
        for (int index = 0; index < count; index++) {
            Vm vm = new Vm("vm-" + index, "s", "d", "10.0.0." + index, 7001, false);
            upstreams.add(new Upstream(vm, Distance.SAME_REGION, 130));
        }
    }

    private Upstream choose(long now) {
        return choice.choose(upstreams, Set.of(), PriorityClass.STANDARD, now).orElseThrow();
    }

    private double share(Upstream upstream, long now) {
        int chosen = 0;
        for (int call = 0; call < 10_000; call++) {
            chosen += choose(now) == upstream ? 1 : 0;
        }
        return chosen / 10_000.0;
    }
}
