package org.plantainshunt.bench.policy;

import java.util.List;
import java.util.OptionalInt;

import org.plantainshunt.bench.policy.Conditions.RepeatStyle;
import org.plantainshunt.bench.policy.Conditions.Slowdown;
import org.plantainshunt.bench.policy.ScenarioTable.Row;

/**
 * Measures how soon goodput recovers after the trigger of an overload has ended.
 *
 * <p>The trigger lasts 30 s, in which the bottleneck slows to a fifth of its speed and demand doubles. Callers repeat
 * failed requests almost without delay.
 */
final class RecoveryScenario extends Scenario {
    private static final int MEASURED_FROM = 5;
    private static final int TRIGGER_FROM = 10;
    private static final int TRIGGER_TO = 40;
    private static final int SECONDS = 70;
    private static final double BASE_LOAD = 0.7;
    private static final int SLOW_FACTOR = 5;
    private static final double RECOVERED_SHARE = 0.95;
    private static final int MAX_RECOVERY_SECONDS = 5;

    @Override
    ScenarioTable run(long seed) {
        return ScenarioTable.of(
                "Recovery",
                "goodput is back within 5 % of its earlier value at most 5 s after the trigger ends, and stays there",
                List.of(
                        "deployment",
                        "policy",
                        "goodput before",
                        "during",
                        "last 10 s",
                        "seconds to recovery",
                        "important work during",
                        "retries mean / max"),
                runAll(forAll((deployment, policies) -> () -> row(deployment, policies, seed))));
    }

    private static Row row(Deployment deployment, PolicySet policies, long seed) {
        Measurements measured = simulate(deployment, policies, conditions(deployment), seed);
        double baselineGoodput = measured.goodput(MEASURED_FROM, TRIGGER_FROM);
        OptionalInt recovery = secondsToRecovery(measured, baselineGoodput);
        String seconds = recovery.isPresent() ? Integer.toString(recovery.getAsInt()) : "not within 30";
        double capacity = deployment.capacity();
        return new Bounds(deployment, policies, "")
                .require(
                        recovery.isPresent() && recovery.getAsInt() <= MAX_RECOVERY_SECONDS,
                        "seconds to recovery: " + seconds)
                .requireRetries(measured, deployment)
                .row(List.of(
                        deployment.name(),
                        policies.title(),
                        percent(baselineGoodput / capacity),
                        percent(measured.goodput(TRIGGER_FROM, TRIGGER_TO) / capacity),
                        percent(measured.goodput(SECONDS - 10, SECONDS) / capacity),
                        seconds,
                        percent(measured.importantCompletion(TRIGGER_FROM, TRIGGER_TO)),
                        retries(measured)));
    }

    static Conditions conditions(Deployment deployment) {
        double baseRate = BASE_LOAD * deployment.capacity();
        Slowdown slowdown = (location, now) ->
                location.service().equals(deployment.bottleneck()) && isTriggered((double) now / VirtualClock.SECOND)
                        ? SLOW_FACTOR
                        : 1;
        return Conditions.steady(SECONDS, MEASURED_FROM, baseRate)
                .withDemand(second -> isTriggered(second) ? 2 * baseRate : baseRate)
                .withRepeatStyle(RepeatStyle.HARD)
                .withSlowdown(slowdown);
    }

    private static boolean isTriggered(double second) {
        return second >= TRIGGER_FROM && second < TRIGGER_TO;
    }

    /** Returns the seconds from the end of the trigger until goodput has recovered for the rest of the run. */
    private static OptionalInt secondsToRecovery(Measurements measured, double baselineGoodput) {
        int second = SECONDS;
        while (second > TRIGGER_TO && measured.goodput(second - 1, second) >= RECOVERED_SHARE * baselineGoodput) {
            second--;
        }
        return second == SECONDS ? OptionalInt.empty() : OptionalInt.of(second - TRIGGER_TO);
    }
}
