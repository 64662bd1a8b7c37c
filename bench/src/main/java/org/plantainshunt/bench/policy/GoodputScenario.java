package org.plantainshunt.bench.policy;

import java.util.ArrayList;
import java.util.List;

import org.plantainshunt.bench.policy.ScenarioTable.Row;

/** Measures goodput at a demand of 1, 2 and 5 times the capacity. */
final class GoodputScenario extends Scenario {
    private static final int SECONDS = 15;
    private static final int MEASURED_FROM = 5;
    private static final double MIN_GOODPUT = 0.9;
    private static final int[] LOADS = {1, 2, 5};

    @Override
    ScenarioTable run(long seed) {
        List<Task> tasks = new ArrayList<>();
        for (int load : LOADS) {
            tasks.addAll(forAll((deployment, policies) -> () -> row(deployment, policies, load, seed)));
        }
        return ScenarioTable.of(
                "Goodput",
                "at 2 and 5 times the capacity at least 90 % of the capacity is answered in time",
                List.of("deployment", "load", "policy", "goodput", "important work", "p99", "retries mean / max"),
                runAll(tasks));
    }

    private static Row row(Deployment deployment, PolicySet policies, int load, long seed) {
        Conditions conditions = Conditions.steady(SECONDS, MEASURED_FROM, load * deployment.capacity());
        Measurements measured = simulate(deployment, policies, conditions, seed);
        double goodput = measured.goodput() / deployment.capacity();
        // Requests of the last two seconds may still be in flight at the end.
        double important = measured.importantCompletion(MEASURED_FROM, SECONDS - 2);
        return new Bounds(deployment, policies, load + " times the capacity")
                .require(load == 1 || goodput >= MIN_GOODPUT, "goodput " + percent(goodput))
                .requireRetries(measured, deployment)
                .row(List.of(
                        deployment.name(),
                        load + " x",
                        policies.title(),
                        percent(goodput),
                        percent(important),
                        milliseconds(measured.latency(99)),
                        retries(measured)));
    }
}
