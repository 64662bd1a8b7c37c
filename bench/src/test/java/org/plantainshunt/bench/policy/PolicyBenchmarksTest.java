package org.plantainshunt.bench.policy;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

/**
 * Holds the bounds of section 1.3 of the design page, and the bound of retries in each scenario.
 *
 * <p>The property {@code seed} replaces the default seed.
 */
class PolicyBenchmarksTest {
    /** Guards against work that is admitted and then wasted, and against capacity that is refused for nothing. */
    @Test
    void sustainsNinetyPercentGoodputUnderOverload() {
        assertBoundsHold(new GoodputScenario());
    }

    /** Guards against a loop of retries or of late work that outlives its trigger. */
    @Test
    void recoversSoonAfterTheTriggerHasEnded() {
        assertBoundsHold(new RecoveryScenario());
    }

    /** Guards against important work lost before the nodes notice a surge. */
    @Test
    void completesImportantWorkDuringASurge() {
        assertBoundsHold(new CrestScenario());
    }

    /** Guards against refusals of important work while less important work is admitted anywhere in the chain. */
    @Test
    void shedsTheLeastImportantClassesFirst() {
        assertBoundsHold(new ShedOrderScenario());
    }

    /** Guards against short work that waits behind long work. */
    @Test
    void keepsLatencyOfShortWorkLowBesideStragglers() {
        assertBoundsHold(new HeadOfLineScenario());
    }

    /** Guards against a choice of server that trusts late reports. */
    @Test
    void keepsTailLatencyLowWithASlowServer() {
        assertBoundsHold(new TailLatencyScenario());
    }

    /** Guards against unimportant traffic that crowds important work out of the link between the regions. */
    @Test
    void completesImportantWorkOverASaturatedLink() {
        assertBoundsHold(new CrossRegionScenario());
    }

    /** Guards against results that depend on threads, hash codes or time, and against a seed without effect. */
    @Test
    void producesIdenticalResultsForTheSameSeed() {
        Scenario scenario = new CrossRegionScenario();
        List<List<String>> first = scenario.run(1).rows();
        assertEquals(first, scenario.run(1).rows());
        assertNotEquals(first, scenario.run(2).rows());
    }

    private static void assertBoundsHold(Scenario scenario) {
        ScenarioTable table = scenario.run(Scenario.seed());
        System.out.println("Seed " + Scenario.seed() + ".\n" + table.markdown());
        assertEquals(List.of(), table.violations());
    }
}
