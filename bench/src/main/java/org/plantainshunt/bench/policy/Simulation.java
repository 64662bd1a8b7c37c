package org.plantainshunt.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.plantainshunt.bench.policy.Conditions.ServerLocation;
import org.plantainshunt.configuration.DataCentre;
import org.plantainshunt.configuration.Service;

/**
 * One run of a deployment under one set of policies.
 *
 * <p>The result depends only on the constructor arguments. Confined to one thread; different runs may use different
 * threads.
 */
final class Simulation {
    private static final long IDS_PER_DATA_CENTRE = 1L << 40;

    private final VirtualClock clock = new VirtualClock();
    private final Deployment deployment;
    private final PolicySet policies;
    private final Conditions conditions;
    private final SplittableRandom random;
    private final Network network;
    private final Measurements measurements;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, List<Node>> servers = new HashMap<>();

    Simulation(Deployment deployment, PolicySet policies, Conditions conditions, long seed) {
        this.deployment = deployment;
        this.policies = policies;
        this.conditions = conditions;
        random = new SplittableRandom(seed);
        network = new Network(clock, deployment, conditions.measuredFrom() * VirtualClock.SECOND);
        measurements = new Measurements(conditions.seconds(), conditions.measuredFrom());
    }

    /** Runs the simulation to its end and returns the measurements. */
    Measurements run() {
        addNodes();
        for (Node node : nodes) {
            node.start(policies.entryPolicy(this, node), policies.servingPolicy(this, node));
        }
        addCallers();
        clock.runUntil(conditions.seconds() * VirtualClock.SECOND);
        measurements.setLinkBytes(network.linkBytes(0), network.linkBytes(1));
        return measurements;
    }

    VirtualClock clock() {
        return clock;
    }

    Deployment deployment() {
        return deployment;
    }

    PolicySet policies() {
        return policies;
    }

    Conditions conditions() {
        return conditions;
    }

    Network network() {
        return network;
    }

    Measurements measurements() {
        return measurements;
    }

    /** Returns an independent random generator. */
    SplittableRandom newRandom() {
        return random.split();
    }

    /** Returns the serving nodes of a service. */
    List<Node> servers(String service) {
        return servers.get(service);
    }

    /** Returns the serving nodes of a service in a region, or those of all regions if that region has none. */
    List<Node> servers(String service, String region) {
        return servers.get(region + "/" + service);
    }

    /** Returns the number of nodes in a region. */
    int nodesIn(String region) {
        return (int) nodes.stream().filter(node -> node.region().equals(region)).count();
    }

    private void addNodes() {
        for (Service service : deployment.services()) {
            for (int dataCentre = 0; dataCentre < deployment.dataCentres().size(); dataCentre++) {
                addNode(service, dataCentre);
            }
        }
        for (Service service : deployment.services()) {
            for (DataCentre dataCentre : deployment.dataCentres()) {
                String key = dataCentre.region() + "/" + service.name();
                servers.computeIfAbsent(key, ignored -> servers(service.name()));
            }
        }
    }

    private void addNode(Service service, int dataCentre) {
        ServerLocation location = new ServerLocation(service.name(), dataCentre);
        if (!conditions.serverFilter().test(location)) {
            return;
        }
        DataCentre dataCentreDefinition = deployment.dataCentres().get(dataCentre);
        BackendServer server = new BackendServer(clock, newRandom(), location, conditions.slowdown(), service.slots());
        Node node = new Node(this, nodes.size(), service, dataCentre, dataCentreDefinition, server);
        nodes.add(node);
        servers.computeIfAbsent(service.name(), ignored -> new ArrayList<>()).add(node);
        servers.computeIfAbsent(dataCentreDefinition.region() + "/" + service.name(), ignored -> new ArrayList<>())
                .add(node);
    }

    private void addCallers() {
        int dataCentres = deployment.dataCentres().size();
        for (int index = 0; index < dataCentres; index++) {
            int dataCentre = index;
            List<Node> local =
                    nodes.stream().filter(node -> node.dataCentre == dataCentre).toList();
            new Caller(this, newRandom(), local, 1.0 / dataCentres, index * IDS_PER_DATA_CENTRE).start();
        }
    }
}
