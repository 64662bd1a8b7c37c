package org.plantainshunt.bench.policy;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.plantainshunt.configuration.Kind;

/**
 * A kind of request with the figures that the fakes need.
 *
 * <p>Immutable.
 *
 * @param kind the kind of request
 * @param share the share of the callers' requests that are of this kind, 0 for internal kinds
 * @param meanNanos the mean service time of the kind's own work, in nanoseconds
 * @param requestBytes the size of a request on the network
 * @param answerBytes the size of an answer on the network
 * @param children the calls that the backend server makes in turn for one request
 */
record Work(Kind kind, double share, long meanNanos, int requestBytes, int answerBytes, List<Work> children) {
    Work {
        children = List.copyOf(children);
    }

    /** Returns the services that a request of this kind may reach through the called service. */
    Set<String> servicesBelow() {
        Set<String> services = new LinkedHashSet<>();
        for (Work child : children) {
            services.add(child.kind().service());
            services.addAll(child.servicesBelow());
        }
        return services;
    }

    Work withAnswerBytes(int bytes) {
        return new Work(kind, share, meanNanos, requestBytes, bytes, children);
    }
}
