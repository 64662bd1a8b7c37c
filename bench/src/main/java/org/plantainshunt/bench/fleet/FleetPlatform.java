package org.plantainshunt.bench.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.plantainshunt.standins.Endpoint;

/**
 * The platform process of a fleet.
 *
 * <p>Confined to the thread that runs the test.
 */
public final class FleetPlatform {
    private final Endpoint endpoint;
    private final ControlClient http;
    private long revision;

    FleetPlatform(Endpoint endpoint, ControlClient http) {
        this.endpoint = endpoint;
        this.http = http;
    }

    /** Returns the address of the platform. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /**
     * Publishes a configuration document.
     *
     * @param document the INI text in UTF-8
     */
    public void publish(byte[] document) throws IOException, InterruptedException {
        http.put(endpoint, "control/configuration", document);
    }

    /**
     * Sets how the platform responds to reads.
     *
     * @param mode ok, down, stalled or stale
     */
    public void setMode(String mode) throws IOException, InterruptedException {
        http.put(endpoint, "control/mode", mode.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the number of reads of each endpoint as JSON. */
    public String counts() throws IOException, InterruptedException {
        return http.get(endpoint, "control/counts");
    }

    boolean ready() throws InterruptedException {
        return http.answers(endpoint, "control/counts");
    }

    /** Publishes a VM list with the next revision. */
    void publishVmList(List<FleetVm> vms) throws IOException, InterruptedException {
        revision++;
        StringBuilder text = new StringBuilder("[vm-list]\nrevision = " + revision + "\n");
        for (FleetVm vm : vms) {
            text.append("\n[vm ").append(vm.name()).append("]\n");
            text.append("service = ").append(vm.service()).append('\n');
            text.append("data-centre = ").append(vm.dataCentre()).append('\n');
            text.append("address = ").append(vm.listedAddress().host()).append('\n');
            text.append("inner-port = ").append(vm.listedAddress().port()).append('\n');
            text.append("state = ").append(vm.leaving() ? "leaving" : "live").append('\n');
        }
        http.put(endpoint, "control/vm-list", text.toString().getBytes(StandardCharsets.UTF_8));
    }
}
