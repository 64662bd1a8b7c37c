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
 * @param dataCentres the data centres in which VMs stand; a subset of the document's
 * @param vmsPerService VMs for each service
 * @param addressBlock second number of all addresses, 1 to 254; addresses are 127.BLOCK.DATA-CENTRE.VM
 * @param withNodes whether nodes are started beside the backend servers
 * @param meanMilliseconds mean service times in milliseconds by SERVICE/KIND, in place of the default
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
    private static final int LARGEST_BLOCK = 254;
    /** A kind's default mean service time is this part of its deadline, but not above the limit. */
    private static final double DEADLINE_PART = 1.0 / 12;

    private static final double LARGEST_DEFAULT_MILLISECONDS = 40;

    /** Copies the collections and checks the address block. */
    public FleetPlan {
        dataCentres = List.copyOf(dataCentres);
        meanMilliseconds = Map.copyOf(meanMilliseconds);
        backendServerOptions = List.copyOf(backendServerOptions);
        if (addressBlock < 1 || addressBlock > LARGEST_BLOCK) {
            throw new IllegalArgumentException("address block outside 1 to 254: " + addressBlock);
        }
    }

    /**
     * Returns a plan with nodes, default service times and a VM of each service in each of two data centres: the first
     * one of the first two regions.
     *
     * @param document the configuration document
     */
    public static FleetPlan small(FleetDocument document) {
        return new FleetPlan(document, firstOfEachRegion(document), 2, blockOfThisProcess(), true, Map.of(), List.of());
    }

    /**
     * Returns the same plan with or without nodes.
     *
     * @param nodes whether nodes are started
     */
    public FleetPlan withNodes(boolean nodes) {
        return new FleetPlan(
                document, dataCentres, vmsPerService, addressBlock, nodes, meanMilliseconds, backendServerOptions);
    }

    /**
     * Returns the same plan with another number of VMs.
     *
     * @param vms VMs for each service
     */
    public FleetPlan withVmsPerService(int vms) {
        return new FleetPlan(
                document, dataCentres, vms, addressBlock, withNodes, meanMilliseconds, backendServerOptions);
    }

    /**
     * Returns the same plan with other service times.
     *
     * @param means mean service times in milliseconds by SERVICE/KIND
     */
    public FleetPlan withMeanMilliseconds(Map<String, Double> means) {
        return new FleetPlan(
                document, dataCentres, vmsPerService, addressBlock, withNodes, means, backendServerOptions);
    }

    /**
     * Returns the same plan with further options of each backend server stand-in.
     *
     * @param options options as on its command line
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
                ? Math.min(LARGEST_DEFAULT_MILLISECONDS, kind.deadline().toMillis() * DEADLINE_PART)
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

    /** Two fleets of different processes on one machine get different addresses in most cases. */
    private static int blockOfThisProcess() {
        return 1 + (int) (ProcessHandle.current().pid() % LARGEST_BLOCK);
    }
}
