package org.plantainshunt.bench.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.plantainshunt.standins.Endpoint;

/**
 * The relays of a fleet: one for the links to nodes and backend servers, and one to the platform for each data centre.
 *
 * <p>Confined to the thread that runs the test.
 */
public final class FleetRelays {
    private static final int CONTROL_PORT = 7020;
    private static final int FIRST_PLATFORM_HOST = 10;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private final Fleet fleet;
    private final FleetRelay links;
    private final Map<String, FleetRelay> platformLinks = new LinkedHashMap<>();
    private final Map<String, Endpoint> platformEndpoints = new LinkedHashMap<>();

    FleetRelays(Fleet fleet) throws IOException {
        this.fleet = fleet;
        List<String> options = new ArrayList<>();
        for (FleetVm vm : fleet.vms()) {
            addLink(options, vm.listedAddress(), vm.innerAddress());
            addLink(options, vm.backendServerAddressForNode(), vm.backendServerAddress());
        }
        links = launch("relay", new Endpoint(fleet.platformHost(2), CONTROL_PORT), options);
        for (FleetVm vm : fleet.vms()) {
            if (!platformLinks.containsKey(vm.dataCentre())) {
                addPlatformLink(vm.dataCentre());
            }
        }
    }

    /** Returns the relay of the links between nodes, and from nodes to their backend servers. */
    public FleetRelay links() {
        return links;
    }

    /**
     * Returns the relay between the nodes of a data centre and the platform.
     *
     * @param dataCentre the name of the data centre
     */
    public FleetRelay platformLink(String dataCentre) {
        return platformLinks.get(dataCentre);
    }

    Endpoint platformEndpoint(String dataCentre) {
        return platformEndpoints.get(dataCentre);
    }

    void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + START_TIMEOUT.toNanos();
        List<FleetRelay> all = new ArrayList<>(platformLinks.values());
        all.add(links);
        for (FleetRelay relay : all) {
            while (!relay.ready()) {
                if (System.nanoTime() > end) {
                    throw new IOException("a relay is not ready");
                }
                Thread.sleep(POLL_INTERVAL.toMillis());
            }
        }
    }

    void kill() throws InterruptedException {
        links.kill();
        for (FleetRelay relay : platformLinks.values()) {
            relay.kill();
        }
    }

    private void addPlatformLink(String dataCentre) throws IOException {
        String host = fleet.platformHost(FIRST_PLATFORM_HOST + platformLinks.size());
        Endpoint platform = fleet.platform().endpoint();
        Endpoint listen = new Endpoint(host, platform.port());
        List<String> options = new ArrayList<>();
        addLink(options, listen, platform);
        platformEndpoints.put(dataCentre, listen);
        platformLinks.put(
                dataCentre, launch("relay-platform-" + dataCentre, new Endpoint(host, CONTROL_PORT), options));
    }

    private FleetRelay launch(String name, Endpoint control, List<String> linkOptions) throws IOException {
        List<String> options = new ArrayList<>(List.of("relay", "--control=" + control));
        options.addAll(linkOptions);
        return new FleetRelay(control, fleet.http(), fleet.launch(name, Programs.standin(), options));
    }

    private static void addLink(List<String> options, Endpoint listen, Endpoint target) {
        options.add("--listen=" + listen);
        options.add("--target=" + target);
    }
}
