package org.plantainshunt.bench.policy;

import java.util.ArrayList;
import java.util.List;

import org.plantainshunt.bench.policy.ScenarioTable.Row;

/**
 * Measures the traffic over the link between the regions.
 *
 * <p>In the "near" variant, all servers exist. In the "far" variant, the bottleneck service runs in one region only,
 * and the answers to its reads are so large that they would take 2.4 times the bandwidth of the link. The important
 * work alone fits into the link.
 */
final class CrossRegionScenario extends Scenario {
    private static final int SECONDS = 20;
    private static final int MEASURED_FROM = 5;

    /** Requests of the last two seconds may still be in flight at the end. */
    private static final int MEASURED_TO = SECONDS - 2;

    private static final double NEAR_LOAD = 0.5;
    private static final double FAR_LOAD = 0.45;
    /** The bandwidth of the large answers to one region's reads, as a multiple of one direction of the link. */
    private static final double READ_TRAFFIC_LINK_MULTIPLE = 2.4;

    private static final int BITS_PER_BYTE = 8;
    private static final int REPORTED_REQUESTS = 1_000;
    private static final int KIBIBYTE = 1_024;
    private static final double MIN_COMPLETION = 0.99;

    @Override
    ScenarioTable run(long seed) {
        List<Task> tasks = new ArrayList<>();
        for (boolean far : new boolean[] {false, true}) {
            tasks.addAll(forAll((deployment, policies) -> () -> row(deployment, policies, far, seed)));
        }
        return ScenarioTable.of(
                "Cross region",
                "at least 99 % of the important work completes, even with a saturated link; the bytes are reported",
                List.of(
                        "deployment",
                        "servers",
                        "policy",
                        "KiB over the link per 1,000 requests",
                        "offered load, busier direction",
                        "important work",
                        "goodput",
                        "retries mean / max"),
                runAll(tasks));
    }

    private static Row row(Deployment baseDeployment, PolicySet policies, boolean far, long seed) {
        Deployment deployment = far ? withLargeAnswers(baseDeployment) : baseDeployment;
        double rate = (far ? FAR_LOAD : NEAR_LOAD) * deployment.capacity();
        Conditions conditions = Conditions.steady(SECONDS, MEASURED_FROM, rate);
        if (far) {
            conditions =
                    conditions.withServerFilter(location -> !location.service().equals(deployment.bottleneck())
                            || deployment
                                    .dataCentres()
                                    .get(location.dataCentre())
                                    .region()
                                    .equals(deployment.link().regionA()));
        }
        Measurements measured = simulate(deployment, policies, conditions, seed);
        double important = measured.importantCompletion(MEASURED_FROM, MEASURED_TO);
        double kibibytes = (double) measured.linkBytes() / KIBIBYTE / measured.measuredRequests() * REPORTED_REQUESTS;
        double directionCapacityBytes =
                (double) deployment.link().bitsPerSecond() / BITS_PER_BYTE * (SECONDS - MEASURED_FROM);
        return new Bounds(deployment, policies, far ? "far" : "near")
                .require(important >= MIN_COMPLETION, "important work completed " + percent(important))
                .requireRetries(measured, deployment)
                .row(List.of(
                        deployment.name(),
                        far ? "far" : "near",
                        policies.title(),
                        Math.round(kibibytes) + "",
                        percent(measured.busierLinkBytes() / directionCapacityBytes),
                        percent(important),
                        percent(measured.goodput() / rate),
                        retries(measured)));
    }

    /** Returns the deployment with large answers for the repeatable kinds of the bottleneck service. */
    private static Deployment withLargeAnswers(Deployment deployment) {
        double readShare = 0;
        for (KindProfile profile : deployment.callerKinds()) {
            readShare +=
                    profile.children().stream().anyMatch(child -> isLarge(deployment, child)) ? profile.share() : 0;
        }
        double readRateOfOneRegion = readShare * FAR_LOAD * deployment.capacity() / 2;
        int largeAnswerBytes = (int)
                (READ_TRAFFIC_LINK_MULTIPLE * deployment.link().bitsPerSecond() / BITS_PER_BYTE / readRateOfOneRegion);
        List<KindProfile> changed = new ArrayList<>();
        for (KindProfile profile : deployment.callerKinds()) {
            List<KindProfile> children = profile.children().stream()
                    .map(child -> isLarge(deployment, child) ? child.withAnswerBytes(largeAnswerBytes) : child)
                    .toList();
            changed.add(new KindProfile(
                    profile.kind(),
                    profile.share(),
                    profile.meanNanos(),
                    profile.requestBytes(),
                    profile.answerBytes(),
                    children));
        }
        return deployment.withCallerKinds(changed, deployment.bottleneck(), deployment.bottleneckMeanNanos());
    }

    private static boolean isLarge(Deployment deployment, KindProfile profile) {
        return profile.kind().service().equals(deployment.bottleneck())
                && !profile.kind().atMostOnce();
    }
}
