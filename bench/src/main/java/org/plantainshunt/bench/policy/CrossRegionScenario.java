package org.plantainshunt.bench.policy;

import java.util.ArrayList;
import java.util.List;

import org.plantainshunt.bench.policy.ScenarioTable.Row;

/**
 * Traffic over the link between the regions.
 *
 * <p>"Near" has all servers. "Far" has the bottleneck's servers in one region only, and answers of its reads so large
 * that they would fill the link 2.4 times; the important work alone fits.
 */
final class CrossRegionScenario extends Scenario {
    private static final int SECONDS = 20;
    private static final int MEASURED_FROM = 5;
    private static final int MEASURED_TO = SECONDS - 2;
    private static final double NEAR_LOAD = 0.5;
    private static final double FAR_LOAD = 0.45;
    /** How many times the large answers of one region's reads would fill one direction of the link. */
    private static final double FILL = 2.4;

    private static final int BITS_PER_BYTE = 8;
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
                        "asked of the busier direction",
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
        double room = (double) deployment.link().bitsPerSecond() / BITS_PER_BYTE * (SECONDS - MEASURED_FROM);
        return new Bounds(deployment, policies, far ? "far" : "near")
                .require(important >= LEAST_SHARE, "important work completed " + percent(important))
                .requireRetries(measured, deployment)
                .row(List.of(
                        deployment.name(),
                        far ? "far" : "near",
                        policies.title(),
                        Math.round(kibibytes) + "",
                        percent(measured.busierLinkBytes() / room),
                        percent(important),
                        percent(measured.goodput() / rate),
                        retries(measured)));
    }

    /** Returns the deployment with large answers of the bottleneck's repeatable kinds. */
    private static Deployment withLargeAnswers(Deployment deployment) {
        double reads = 0;
        for (Work work : deployment.work()) {
            reads += work.children().stream().anyMatch(child -> isLarge(deployment, child)) ? work.share() : 0;
        }
        double readsOfOneRegion = reads * FAR_LOAD * deployment.capacity() / 2;
        int largeAnswer = (int) (FILL * deployment.link().bitsPerSecond() / BITS_PER_BYTE / readsOfOneRegion);
        List<Work> changed = new ArrayList<>();
        for (Work work : deployment.work()) {
            List<Work> children = work.children().stream()
                    .map(child -> isLarge(deployment, child) ? child.withAnswerBytes(largeAnswer) : child)
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
