package org.plantainshunt.bench.policy;

import java.util.ArrayList;
import java.util.List;

import org.plantainshunt.bench.policy.ScenarioTable.Row;

/**
 * Traffic over the link between the regions.
 *
 * <p>"Near" has all servers. "Far" has the bottleneck's servers in one region only and 16 KiB answers to its reads, so
 * that the calls of the other region would fill the link more than once; the important work alone fits.
 */
final class CrossRegionScenario extends Scenario {
    private static final int SECONDS = 20;
    private static final int MEASURED_FROM = 5;
    private static final int MEASURED_TO = SECONDS - 2;
    private static final double NEAR_LOAD = 0.5;
    private static final double FAR_LOAD = 0.45;
    private static final int LARGE_ANSWER = 16 * 1024;
    private static final int CALLS = 1_000;
    private static final int KIBIBYTE = 1_024;
    private static final double LEAST_SHARE = 0.99;

    @Override
    ScenarioTable run(long seed) {
        List<Task> tasks = new ArrayList<>();
        for (boolean far : new boolean[] {false, true}) {
            tasks.addAll(forAll((deployment, policies) -> () -> row(deployment, policies, far, seed)));
        }
        return ScenarioTable.of(
                "Cross region",
                "important work completes to at least 99 %, also with a full link; the bytes are reported",
                List.of(
                        "deployment",
                        "servers",
                        "policy",
                        "KiB over the link per 1,000 requests",
                        "link in use, both ways",
                        "important work",
                        "goodput",
                        "retries mean / most"),
                runAll(tasks));
    }

    private static Row row(Deployment mesh, PolicySet policies, boolean far, long seed) {
        Deployment deployment = far ? withLargeAnswers(mesh) : mesh;
        double rate = (far ? FAR_LOAD : NEAR_LOAD) * deployment.capacity();
        Conditions conditions = Conditions.steady(SECONDS, MEASURED_FROM, rate);
        if (far) {
            conditions = conditions.withServers(place -> !place.service().equals(deployment.bottleneck())
                    || deployment
                            .dataCentres()
                            .get(place.dataCentre())
                            .region()
                            .equals(deployment.link().regionA()));
        }
        Measurements measured = simulate(deployment, policies, conditions, seed);
        double important = measured.importantCompletion(MEASURED_FROM, MEASURED_TO);
        double kibibytes = (double) measured.linkBytes() / KIBIBYTE / measured.measuredRequests() * CALLS;
        double room = 2.0 * deployment.link().bitsPerSecond() / 8 * (SECONDS - MEASURED_FROM);
        return new Bounds(deployment, policies, far ? "far" : "near")
                .require(important >= LEAST_SHARE, "important work completed " + percent(important))
                .requireRetries(measured, deployment)
                .row(List.of(
                        deployment.name(),
                        far ? "far" : "near",
                        policies.title(),
                        Math.round(kibibytes) + "",
                        percent(measured.linkBytes() / room),
                        percent(important),
                        percent(measured.goodput() / rate),
                        retries(measured)));
    }

    /** Returns the deployment with large answers of the bottleneck's repeatable kinds. */
    private static Deployment withLargeAnswers(Deployment deployment) {
        List<Work> changed = new ArrayList<>();
        for (Work work : deployment.work()) {
            List<Work> children = work.children().stream()
                    .map(child -> isLarge(deployment, child) ? child.withAnswerBytes(LARGE_ANSWER) : child)
                    .toList();
            changed.add(new Work(
                    work.kind(), work.share(), work.meanNanos(), work.requestBytes(), work.answerBytes(), children));
        }
        return deployment.withWork(changed, deployment.bottleneck(), deployment.bottleneckMeanNanos());
    }

    private static boolean isLarge(Deployment deployment, Work work) {
        return work.kind().service().equals(deployment.bottleneck())
                && !work.kind().atMostOnce();
    }
}
