package org.plantainshunt.bench.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.plantainshunt.configuration.DataCentre;
import org.plantainshunt.configuration.Kind;

/**
 * The processes of a fleet: for each service a number of VMs, spread evenly over data centres.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param document the configuration document
 * @param dataCentres the data centres that have VMs; a subset of the document's
 * @param vmsPerService the number of VMs of each service
 * @param addressBlock the second byte of all addresses, 1 to 254; addresses are 127.BLOCK.DATA-CENTRE.VM
 * @param withNodes whether a node is started for each backend server
 * @param meanMilliseconds mean service times in milliseconds by SERVICE/KIND, overriding the default
 * @param backendServerOptions further options of each backend server stand-in
 */
public record FleetPlan(
        FleetDocument document,
        List<DataCentre> dataCentres,
        int vmsPerService,
        int addressBlock,
        boolean withNodes,
        Map<String, Double> meanMilliseconds,
        List<String> backendServerOptions) {
    private static final int MAX_ADDRESS_BLOCK = 254;
    /** The default mean service time of a kind as a share of its deadline, before the maximum is applied. */
    private static final double DEFAULT_DEADLINE_SHARE = 1.0 / 12;

    private static final double MAX_DEFAULT_MILLISECONDS = 40;

    /** Copies the collections and checks the address block. */
    public FleetPlan {
        dataCentres = List.copyOf(dataCentres);
        meanMilliseconds = Map.copyOf(meanMilliseconds);
        backendServerOptions = List.copyOf(backendServerOptions);
        if (addressBlock < 1 || addressBlock > MAX_ADDRESS_BLOCK) {
            throw new IllegalArgumentException("address block outside 1 to 254: " + addressBlock);
        }
    }

    /**
     * Returns a plan with nodes and default service times, and one VM of each service in each of two data centres: the
     * first data centre of each of the first two regions.
     *
     * @param document the configuration document
     */
    public static FleetPlan small(FleetDocument document) {
        return new FleetPlan(
                document, firstOfEachRegion(document), 2, addressBlockOfThisProcess(), true, Map.of(), List.of());
    }

    /**
     * Returns a copy of this plan with or without nodes.
     *
     * @param nodes whether nodes are started
     */
    public FleetPlan withNodes(boolean nodes) {
        return new FleetPlan(
                document, dataCentres, vmsPerService, addressBlock, nodes, meanMilliseconds, backendServerOptions);
    }

    /**
     * Returns a copy of this plan with another number of VMs.
     *
     * @param vms the number of VMs of each service
     */
    public FleetPlan withVmsPerService(int vms) {
        return new FleetPlan(
                document, dataCentres, vms, addressBlock, withNodes, meanMilliseconds, backendServerOptions);
    }

    /**
     * Returns a copy of this plan with these service times.
     *
     * @param means mean service times in milliseconds by SERVICE/KIND
     */
    public FleetPlan withMeanMilliseconds(Map<String, Double> means) {
        return new FleetPlan(
                document, dataCentres, vmsPerService, addressBlock, withNodes, means, backendServerOptions);
    }

    /**
     * Returns a copy of this plan with these additional options of each backend server stand-in.
     *
     * @param options command-line options of the stand-in
     */
    public FleetPlan withBackendServerOptions(List<String> options) {
        return new FleetPlan(document, dataCentres, vmsPerService, addressBlock, withNodes, meanMilliseconds, options);
    }

    /**
     * Returns the mean service time of a kind.
     *
     * @param kind the kind of request
     * @return milliseconds
     */
    public double meanMilliseconds(Kind kind) {
        Double mean = meanMilliseconds.get(kind.service() + "/" + kind.name());
        return mean == null
                ? Math.min(MAX_DEFAULT_MILLISECONDS, kind.deadline().toMillis() * DEFAULT_DEADLINE_SHARE)
                : mean;
    }

    /**
     * Returns the slots of one backend server of a service.
     *
     * @param service the name of the service
     */
    public int slots(String service) {
        return document.services().stream()
                .filter(limits -> limits.name().equals(service))
                .findFirst()
                .orElseThrow()
                .slots();
    }

    private static List<DataCentre> firstOfEachRegion(FleetDocument document) {
        Map<String, DataCentre> first = new LinkedHashMap<>();
        document.dataCentres().forEach(dataCentre -> first.putIfAbsent(dataCentre.region(), dataCentre));
        return first.values().stream().limit(2).toList();
    }

    /** Derives the block from the process id, so that fleets of concurrent processes rarely share addresses. */
    private static int addressBlockOfThisProcess() {
        return 1 + (int) (ProcessHandle.current().pid() % MAX_ADDRESS_BLOCK);
    }
}
