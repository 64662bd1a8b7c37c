package org.plantainshunt.bench.policy;

import java.util.List;

import org.plantainshunt.bench.policy.Conditions.Slowdown;
import org.plantainshunt.bench.policy.ScenarioTable.Row;

/** One of the bottleneck's four servers slows by a factor of 10; load reports are delayed by 5 s; the load is 50 %. */
final class TailLatencyScenario extends Scenario {
    private static final int SECONDS = 40;
    /** Requests are measured from the start of the slowdown. */
    private static final int MEASURED_FROM = 10;

    private static final double LOAD = 0.5;
    private static final int SLOW_FACTOR = 10;
    private static final long REPORT_DELAY = 5 * VirtualClock.SECOND;
    private static final double MAX_P99_RATIO = 1.5;
    private static final double MIN_COMPLETION = 0.99;

    @Override
    ScenarioTable run(long seed) {
        return ScenarioTable.of(
                "Tail latency",
                "p99 is at most 1.5 times the p99 without the slowdown, and 99 % of the requests complete",
                List.of(
                        "deployment",
                        "policy",
                        "p99 without",
                        "p99 with",
                        "ratio",
                        "p999 without",
                        "p999 with",
                        "completed",
                        "retries mean / max"),
                runAll(forAll((deployment, policies) -> () -> row(deployment, policies, seed))));
    }

    private static Row row(Deployment deployment, PolicySet policies, long seed) {
        Slowdown slowdown = (location, now) -> location.service().equals(deployment.bottleneck())
                        && location.dataCentre() == 0
                        && now >= MEASURED_FROM * VirtualClock.SECOND
                ? SLOW_FACTOR
                : 1;
        Conditions withoutSlowdown = Conditions.steady(SECONDS, MEASURED_FROM, LOAD * deployment.capacity())
                .withReportDelay(REPORT_DELAY);
        Measurements baseline = simulate(deployment, policies, withoutSlowdown, seed);
        Measurements measured = simulate(deployment, policies, withoutSlowdown.withSlowdown(slowdown), seed);
        double ratio = (double) measured.latency(99) / baseline.latency(99);
        return new Bounds(deployment, policies, "")
                .require(ratio <= MAX_P99_RATIO, "p99 grew by a factor of " + number(ratio))
                .require(
                        measured.shortCompletion() >= MIN_COMPLETION,
                        "requests completed " + percent(measured.shortCompletion()))
                .requireRetries(measured, deployment)
                .row(List.of(
                        deployment.name(),
                        policies.title(),
                        milliseconds(baseline.latency(99)),
                        milliseconds(measured.latency(99)),
                        number(ratio),
                        milliseconds(baseline.latency(99.9)),
                        milliseconds(measured.latency(99.9)),
                        percent(measured.shortCompletion()),
                        retries(measured)));
    }
}
