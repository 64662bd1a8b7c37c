package org.plantainshunt.bench.policy;

import java.util.List;
import java.util.Optional;

import org.plantainshunt.configuration.DataCentre;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.Link;
import org.plantainshunt.configuration.Policy;
import org.plantainshunt.configuration.Service;

/**
 * One of the two deployments of section 1.4 of docs/design.md.
 *
 * <p>Each service has one backend server per data centre. Immutable.
 *
 * @param name the name of the deployment
 * @param dataCentres the data centres, two in each region
 * @param link the link between the two regions
 * @param intraRegionLatencyNanos the one-way latency between data centres of a region, in nanoseconds
 * @param callerLatencyNanos the one-way latency to callers, in nanoseconds
 * @param policy the policy settings for all services
 * @param services the services
 * @param callerKinds the kinds of request that callers send
 * @param bottleneck the service that every request of a caller calls exactly once
 * @param bottleneckMeanNanos the mean service time of a call at the bottleneck, in nanoseconds
 */
record Deployment(
        String name,
        List<DataCentre> dataCentres,
        Link link,
        long intraRegionLatencyNanos,
        long callerLatencyNanos,
        Policy policy,
        List<Service> services,
        List<KindProfile> callerKinds,
        String bottleneck,
        long bottleneckMeanNanos) {

    Service service(String serviceName) {
        for (Service service : services) {
            if (service.name().equals(serviceName)) {
                return service;
            }
        }
        throw new IllegalArgumentException("deployment " + name + " has no service " + serviceName);
    }

    /** Finds a kind among those that callers request and, recursively, their downstream calls. */
    Optional<Kind> kind(String service, String kind) {
        return kind(callerKinds, service, kind);
    }

    private static Optional<Kind> kind(List<KindProfile> profiles, String service, String name) {
        for (KindProfile candidate : profiles) {
            Kind kind = candidate.kind();
            if (kind.service().equals(service) && kind.name().equals(name)) {
                return Optional.of(kind);
            }
            Optional<Kind> downstreamKind = kind(candidate.children(), service, name);
            if (downstreamKind.isPresent()) {
                return downstreamKind;
            }
        }
        return Optional.empty();
    }

    /** Returns the requests per second that the bottleneck's slots can serve at its mean service time. */
    double capacity() {
        return capacityOfOneServer() * dataCentres.size();
    }

    double capacityOfOneServer() {
        return service(bottleneck).slots() * (double) VirtualClock.SECOND / bottleneckMeanNanos;
    }

    /** Returns a copy with other kinds of caller requests and another bottleneck. */
    Deployment withCallerKinds(List<KindProfile> otherCallerKinds, String otherBottleneck, long otherMeanNanos) {
        return new Deployment(
                name,
                dataCentres,
                link,
                intraRegionLatencyNanos,
                callerLatencyNanos,
                policy,
                services,
                otherCallerKinds,
                otherBottleneck,
                otherMeanNanos);
    }
}
