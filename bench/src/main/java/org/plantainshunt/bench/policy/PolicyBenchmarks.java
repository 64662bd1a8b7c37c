package org.plantainshunt.bench.policy;

import java.io.PrintStream;
import java.util.List;

/**
 * Runs the policy benchmarks and prints their result tables in Markdown.
 *
 * <p>The system property {@code seed} overrides the default seed.
 */
public final class PolicyBenchmarks {
    private PolicyBenchmarks() {}

    /** Runs all scenarios, or only those whose class names start with one of the arguments. */
    public static void main(String[] arguments) {
        PrintStream out = System.out;
        out.println("Seed " + Scenario.seed() + ".\n");
        for (Scenario scenario : scenarios()) {
            if (isSelected(scenario, List.of(arguments))) {
                out.println(scenario.run(Scenario.seed()).markdown());
            }
        }
    }

    static List<Scenario> scenarios() {
        return List.of(
                new GoodputScenario(),
                new RecoveryScenario(),
                new CrestScenario(),
                new ShedOrderScenario(),
                new HeadOfLineScenario(),
                new TailLatencyScenario(),
                new CrossRegionScenario());
    }

    private static boolean isSelected(Scenario scenario, List<String> names) {
        return names.isEmpty() || names.stream().anyMatch(scenario.getClass().getSimpleName()::startsWith);
    }
}
