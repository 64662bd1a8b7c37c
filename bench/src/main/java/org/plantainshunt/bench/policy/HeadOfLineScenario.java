package org.plantainshunt.bench.policy;

import java.time.Duration;
import java.util.List;

import org.plantainshunt.bench.policy.ScenarioTable.Row;

/**
 * Head-of-line blocking: 2 % of the calls to one service are stragglers with 100 times the usual service time.
 *
 * <p>Short work takes 35 % of the slots. The stragglers would take 71 %, which is more than the remaining slots. With
 * short work at 30 %, they would take only 61 % and thus fit.
 */
final class HeadOfLineScenario extends Scenario {
    private static final int SECONDS = 40;
    private static final int MEASURED_FROM = 15;
    private static final double SHORT_LOAD = 0.35;
    private static final double STRAGGLER_SHARE = 0.02;
    private static final double MAX_P99_RATIO = 1.5;
    private static final double MIN_COMPLETION = 0.99;
    private static final Duration DEADLINE = Duration.ofSeconds(10);

    @Override
    ScenarioTable run(long seed) {
        return ScenarioTable.of(
                "Head of line",
                "p99 of short work is at most 1.5 times its p99 without stragglers, and 99 % of it completes",
                List.of(
                        "deployment",
                        "policy",
                        "p99 without",
                        "p99 with",
                        "ratio",
                        "short work completed",
                        "stragglers completed",
                        "retries mean / max"),
                runAll(forAll((deployment, policies) -> () -> row(deployment, policies, seed))));
    }

    private static Row row(Deployment baseDeployment, PolicySet policies, long seed) {
        Deployment deployment = Deployments.singleService(baseDeployment, firstService(baseDeployment), DEADLINE);
        double shortRate = SHORT_LOAD * deployment.capacity();
        Conditions withoutStragglers = Conditions.steady(SECONDS, MEASURED_FROM, shortRate);
        Conditions withStragglers = Conditions.steady(SECONDS, MEASURED_FROM, shortRate / (1 - STRAGGLER_SHARE))
                .withStragglers(STRAGGLER_SHARE);
        long baselineP99 =
                simulate(deployment, policies, withoutStragglers, seed).latency(99);
        Measurements measured = simulate(deployment, policies, withStragglers, seed);
        double ratio = (double) measured.latency(99) / baselineP99;
        return new Bounds(deployment, policies, "")
                .require(ratio <= MAX_P99_RATIO, "p99 of short work grew by a factor of " + number(ratio))
                .require(
                        measured.shortCompletion() >= MIN_COMPLETION,
                        "short work completed " + percent(measured.shortCompletion()))
                .requireRetries(measured, deployment)
                .row(List.of(
                        deployment.name(),
                        policies.title(),
                        milliseconds(baselineP99),
                        milliseconds(measured.latency(99)),
                        number(ratio),
                        percent(measured.shortCompletion()),
                        Long.toString(measured.stragglersCompleted()),
                        retries(measured)));
    }

    private static String firstService(Deployment deployment) {
        return deployment.services().get(0).name();
    }
}
