package org.plantainshunt.bench.policy;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

/**
 * Checks the bounds of section 1.3 of docs/design.md, and the bound on retries in each scenario.
 *
 * <p>The system property {@code seed} overrides the default seed.
 */
class PolicyBenchmarksTest {
    /** Guards against work that is admitted and then wasted, and against refusals while capacity is free. */
    @Test
    void sustainsNinetyPercentGoodputUnderOverload() {
        assertBoundsHold(new GoodputScenario());
    }

    /** Guards against metastable overload: retries or late work that sustain overload after its trigger ends. */
    @Test
    void recoversSoonAfterTheTriggerHasEnded() {
        assertBoundsHold(new RecoveryScenario());
    }

    /** Guards against the loss of important work before the nodes react to a demand surge. */
    @Test
    void completesImportantWorkDuringASurge() {
        assertBoundsHold(new CrestScenario());
    }

    /** Guards against refusals of important work while less important work is admitted anywhere in the chain. */
    @Test
    void shedsTheLeastImportantClassesFirst() {
        assertBoundsHold(new ShedOrderScenario());
    }

    /** Guards against head-of-line blocking of short work by long work. */
    @Test
    void keepsLatencyOfShortWorkLowBesideStragglers() {
        assertBoundsHold(new HeadOfLineScenario());
    }

    /** Guards against routing decisions that rely on stale load reports. */
    @Test
    void keepsTailLatencyLowWithASlowServer() {
        assertBoundsHold(new TailLatencyScenario());
    }

    /** Guards against less important traffic that takes the link bandwidth needed by important work. */
    @Test
    void completesImportantWorkOverASaturatedLink() {
        assertBoundsHold(new CrossRegionScenario());
    }

    /** Guards against results that depend on threads, hash codes or wall-clock time, and against an ignored seed. */
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
