package org.plantainshunt.bench;

import java.util.ArrayList;
import java.util.List;

import org.plantainshunt.bench.fleet.FleetDocument;
import org.plantainshunt.bench.fleet.FleetPlan;
import org.plantainshunt.configuration.AllowedCall;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.standins.KindLoad;

/**
 * Derives a load from the call graph of a configuration document, such that it uses a given share of the capacity of
 * the deepest service.
 *
 * <p>Immutable and safe for use by any thread.
 */
final class CallGraphLoad {
    private static final int RESPONSE_BYTES = 2_000;
    private static final int BODY_BYTES = 200;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final FleetPlan plan;
    private final FleetDocument document;

    CallGraphLoad(FleetPlan plan) {
        this.plan = plan;
        this.document = plan.document();
    }

    /** Returns the kind at the end of the longest chain of calls. */
    Kind deepestKind() {
        Kind deepest = document.kinds().get(0);
        int maxDepth = -1;
        for (Kind kind : document.kinds()) {
            int depth = depth(kind);
            if (depth > maxDepth) {
                maxDepth = depth;
                deepest = kind;
            }
        }
        while (!deepest.calls().isEmpty()) {
            deepest = deepestCall(deepest);
        }
        return deepest;
    }

    /** Returns the load of every kind; together the rates use this share of the capacity of the deepest service. */
    List<KindLoad> loads(double share) {
        Kind deepest = deepestKind();
        double calls = 0;
        for (Kind kind : document.kinds()) {
            calls += weight(kind) * requestsTo(kind, deepest.service());
        }
        double capacity = plan.slots(deepest.service())
                * plan.vmsPerService()
                * MILLISECONDS_PER_SECOND
                / plan.meanMilliseconds(deepest);
        List<KindLoad> loads = new ArrayList<>();
        for (Kind kind : document.kinds()) {
            loads.add(load(kind, weight(kind) * share * capacity / calls));
        }
        return loads;
    }

    /** Returns the load of every kind at the same rate in requests per second. */
    List<KindLoad> evenLoads(double rate) {
        return document.kinds().stream().map(kind -> load(kind, rate)).toList();
    }

    private static KindLoad load(Kind kind, double rate) {
        return new KindLoad(
                kind.service(),
                kind.name(),
                kind.priorityClass(),
                kind.atMostOnce(),
                rate,
                kind.deadline().toMillis(),
                RESPONSE_BYTES,
                BODY_BYTES);
    }

    /** Sheddable kinds dominate the demand, so that the more important work alone fits the slowed deepest service. */
    private static double weight(Kind kind) {
        return switch (kind.priorityClass()) {
            case CRITICAL, IMPORTANT -> 1;
            case STANDARD -> 2;
            case SHEDDABLE -> 5;
        };
    }

    /** Returns how many requests a service receives for one request of this kind, including that request. */
    private int requestsTo(Kind kind, String service) {
        int calls = kind.service().equals(service) ? 1 : 0;
        for (AllowedCall call : kind.calls()) {
            calls += call.count() * requestsTo(target(call), service);
        }
        return calls;
    }

    private int depth(Kind kind) {
        return kind.calls().stream()
                .mapToInt(call -> 1 + depth(target(call)))
                .max()
                .orElse(0);
    }

    private Kind deepestCall(Kind kind) {
        Kind deepest = target(kind.calls().get(0));
        for (AllowedCall call : kind.calls()) {
            if (depth(target(call)) > depth(deepest)) {
                deepest = target(call);
            }
        }
        return deepest;
    }

    private Kind target(AllowedCall call) {
        return document.kind(call.service(), call.kind()).orElseThrow();
    }
}
