package org.plantainshunt.bench.policy;

import java.util.List;

import org.plantainshunt.bench.policy.ScenarioTable.Row;

/** A surge: demand grows fivefold within 2 s, and important work alone takes 80 % of the capacity at the peak. */
final class CrestScenario extends Scenario {
    private static final int MEASURED_FROM = 5;
    private static final int RISE_FROM = 10;
    private static final int PEAK_FROM = 12;
    private static final int PEAK_TO = 20;
    private static final int SECONDS = 24;
    private static final double BASE_LOAD = 0.8;
    private static final int PEAK_FACTOR = 5;
    private static final double MIN_COMPLETION = 0.99;

    @Override
    ScenarioTable run(long seed) {
        return ScenarioTable.of(
                "Crest",
                "at least 99 % of the critical and important requests sent from the start of the rise to the end "
                        + "of the peak complete",
                List.of(
                        "deployment",
                        "policy",
                        "important work",
                        "in the rise",
                        "at the peak",
                        "goodput at the peak",
                        "retries mean / max"),
                runAll(forAll((deployment, policies) -> () -> row(deployment, policies, seed))));
    }

    private static Row row(Deployment deployment, PolicySet policies, long seed) {
        Measurements measured = simulate(deployment, policies, conditions(deployment), seed);
        double important = measured.importantCompletion(RISE_FROM, PEAK_TO);
        return new Bounds(deployment, policies, "")
                .require(important >= MIN_COMPLETION, "important work completed " + percent(important))
                .requireRetries(measured, deployment)
                .row(List.of(
                        deployment.name(),
                        policies.title(),
                        percent(important),
                        percent(measured.importantCompletion(RISE_FROM, PEAK_FROM)),
                        percent(measured.importantCompletion(PEAK_FROM, PEAK_TO)),
                        percent(measured.goodput(PEAK_FROM, PEAK_TO) / deployment.capacity()),
                        retries(measured)));
    }

    static Conditions conditions(Deployment deployment) {
        double baseRate = BASE_LOAD * deployment.capacity();
        return Conditions.steady(SECONDS, MEASURED_FROM, baseRate)
                .withDemand(second -> baseRate * demandFactor(second));
    }

    private static double demandFactor(double second) {
        if (second < RISE_FROM || second >= PEAK_TO) {
            return 1;
        }
        double rampProgress = Math.min(1, (second - RISE_FROM) / (PEAK_FROM - RISE_FROM));
        return 1 + (PEAK_FACTOR - 1) * rampProgress;
    }
}
