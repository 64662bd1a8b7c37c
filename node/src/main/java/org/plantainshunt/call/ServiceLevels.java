package org.plantainshunt.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.plantainshunt.configuration.Kind;
import org.plantainshunt.protocol.LoadReport;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.routing.DownstreamLevels;

/**
 * The admission levels, as known to an entry node, of the services that each kind of request calls.
 *
 * <p>The downstream services of a kind are those that the configuration declares and those seen in calls and load
 * reports. Confined to the decision thread.
 */
final class ServiceLevels {
    private final CallPreparation preparation;
    private final DownstreamLevels levels;
    /** The downstream services that serving nodes reported for a kind; few kinds have any. */
    private final Map<Kind, Set<String>> reportedDownstream = new HashMap<>();

    ServiceLevels(CallPreparation preparation) {
        this.preparation = preparation;
        this.levels = new DownstreamLevels(preparation::kind);
    }

    /** Discards the reported services, since a new configuration may define other kinds. */
    void clearReported() {
        reportedDownstream.clear();
    }

    /** Returns a refusal if a service that the call needs would refuse it. */
    Optional<Refusal> check(Kind kind, int priorityValue, long now) {
        return levels.check(kind, reportedDownstream.getOrDefault(kind, Set.of()), priorityValue, now);
    }

    /** Returns whether a service that requests of this kind need has lacked capacity lately. */
    boolean lackedCapacity(Kind kind, long now) {
        Set<String> services = downstreamServices(kind);
        services.add(kind.service());
        return levels.lackedCapacity(services, now);
    }

    /** Returns the admission levels of those downstream services of a kind of request that shed load. */
    Map<String, Integer> downstreamLevels(Kind kind, long now) {
        Map<String, Integer> levelsByService = new HashMap<>(levels.levels(now));
        levelsByService.keySet().retainAll(downstreamServices(kind));
        return levelsByService;
    }

    /**
     * Records the levels in a serving node's load report.
     *
     * <p>A report lists downstream services only while they shed, so a service that is not listed is recorded as
     * admitting all calls. If its last level were kept, an entry node would refuse calls for seconds after the service
     * has recovered.
     */
    void recordLevels(String vm, Kind kind, LoadReport load, long now) {
        Integer own = load.levels().get(kind.service());
        if (own == null) {
            return;
        }
        levels.report(vm, kind.service(), own, now);
        load.levels().keySet().stream()
                .filter(service -> !service.equals(kind.service()))
                .forEach(service -> reportedDownstream
                        .computeIfAbsent(kind, reporting -> new HashSet<>())
                        .add(service));
        for (String service : downstreamServices(kind)) {
            levels.report(vm, service, load.levels().getOrDefault(service, DownstreamLevels.ADMITS_ALL), now);
        }
    }

    /** Returns the downstream services of a kind: those declared, and those seen or reported while its requests ran. */
    private Set<String> downstreamServices(Kind kind) {
        Set<String> services = new HashSet<>(preparation.downstreamServices(kind));
        services.addAll(reportedDownstream.getOrDefault(kind, Set.of()));
        for (Kind called : preparation.observedCalls(kind)) {
            services.add(called.service());
            services.addAll(reportedDownstream.getOrDefault(called, Set.of()));
        }
        return services;
    }
}
