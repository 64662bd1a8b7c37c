package org.plantainshunt.bench.policy;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.plantainshunt.configuration.Kind;

/**
 * A kind of request with the parameters of its simulation.
 *
 * <p>Immutable.
 *
 * @param kind the kind of request
 * @param share the fraction of the callers' requests that are of this kind, 0 for internal kinds
 * @param meanNanos the mean service time of the kind's own work, in nanoseconds
 * @param requestBytes the size of a request in bytes
 * @param answerBytes the size of an answer in bytes
 * @param children the downstream calls that the backend server makes for one request, one after the other
 */
record KindProfile(
        Kind kind, double share, long meanNanos, int requestBytes, int answerBytes, List<KindProfile> children) {
    KindProfile {
        children = List.copyOf(children);
    }

    /** Returns the services that may be called downstream for a request of this kind, directly or indirectly. */
    Set<String> downstreamServices() {
        Set<String> services = new LinkedHashSet<>();
        for (KindProfile child : children) {
            services.add(child.kind().service());
            services.addAll(child.downstreamServices());
        }
        return services;
    }

    KindProfile withAnswerBytes(int bytes) {
        return new KindProfile(kind, share, meanNanos, requestBytes, bytes, children);
    }
}
