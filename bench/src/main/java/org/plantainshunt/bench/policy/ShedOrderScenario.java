package org.plantainshunt.bench.policy;

import java.util.List;

import org.plantainshunt.bench.policy.ScenarioTable.Row;
import org.plantainshunt.configuration.PriorityClass;

/** Demand is three times the capacity; important work alone takes 60 % of the capacity. */
final class ShedOrderScenario extends Scenario {
    private static final int SECONDS = 17;
    private static final int MEASURED_FROM = 5;
    /** Requests of the last two seconds may still be in flight at the end. */
    private static final int MEASURED_TO = SECONDS - 2;

    private static final double LOAD = 3;
    private static final double MIN_COMPLETION = 0.99;

    @Override
    ScenarioTable run(long seed) {
        return ScenarioTable.of(
                "Shed order",
                "at least 99 % of the important work completes, and in no second is a larger share of a more "
                        + "important class refused than of a less important one",
                List.of(
                        "deployment",
                        "policy",
                        "critical: refused/s, completed",
                        "important",
                        "standard",
                        "sheddable",
                        "seconds out of order",
                        "retries mean / max"),
                runAll(forAll((deployment, policies) -> () -> row(deployment, policies, seed))));
    }

    private static Row row(Deployment deployment, PolicySet policies, long seed) {
        Conditions conditions = Conditions.steady(SECONDS, MEASURED_FROM, LOAD * deployment.capacity());
        Measurements measured = simulate(deployment, policies, conditions, seed);
        double important = measured.importantCompletion(MEASURED_FROM, MEASURED_TO);
        int outOfOrder = secondsOutOfOrder(measured);
        return new Bounds(deployment, policies, "")
                .require(important >= MIN_COMPLETION, "important work completed " + percent(important))
                .require(outOfOrder == 0, outOfOrder + " seconds out of order")
                .requireRetries(measured, deployment)
                .row(List.of(
                        deployment.name(),
                        policies.title(),
                        cell(measured, PriorityClass.CRITICAL),
                        cell(measured, PriorityClass.IMPORTANT),
                        cell(measured, PriorityClass.STANDARD),
                        cell(measured, PriorityClass.SHEDDABLE),
                        outOfOrder + " of " + (MEASURED_TO - MEASURED_FROM),
                        retries(measured)));
    }

    private static String cell(Measurements measured, PriorityClass priorityClass) {
        long perSecond = measured.refusals(priorityClass, MEASURED_FROM, MEASURED_TO) / (MEASURED_TO - MEASURED_FROM);
        return perSecond + ", " + percent(measured.completion(priorityClass, MEASURED_FROM, MEASURED_TO));
    }

    private static int secondsOutOfOrder(Measurements measured) {
        int count = 0;
        for (int second = MEASURED_FROM; second < MEASURED_TO; second++) {
            double lessImportant = Double.MAX_VALUE;
            boolean ordered = true;
            for (int ordinal = PriorityClass.values().length - 1; ordinal >= 0; ordinal--) {
                double share = refusedShare(measured, PriorityClass.values()[ordinal], second);
                ordered &= share <= lessImportant;
                lessImportant = share;
            }
            count += ordered ? 0 : 1;
        }
        return count;
    }

    private static double refusedShare(Measurements measured, PriorityClass priorityClass, int second) {
        long sent = measured.sent(priorityClass, second, second + 1);
        return (double) measured.refusals(priorityClass, second, second + 1) / Math.max(1, sent);
    }
}
