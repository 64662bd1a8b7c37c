package org.plantainshunt.bench.fleet;

import java.io.IOException;

import org.plantainshunt.standins.Endpoint;

/**
 * The inner connections of a fleet, which go through a relay.
 *
 * <p>A connection is known by the address that it comes from. A node must therefore connect from the host of its inner
 * address; otherwise only rules without a source take effect. Confined to the thread that runs the test.
 */
public final class FleetLinks {
    private final Endpoint endpoint;
    private final Control http;
    private final FleetPlan plan;

    FleetLinks(Endpoint endpoint, Control http, FleetPlan plan) {
        this.endpoint = endpoint;
        this.http = http;
        this.plan = plan;
    }

    /**
     * Resets the connections between two data centres and all new ones, both ways.
     *
     * @param one the name of a data centre of the plan
     * @param other the name of another
     */
    public void partition(String one, String other) throws IOException, InterruptedException {
        both("cut", one, other, "");
    }

    /**
     * Keeps the connections between two data centres open and passes nothing on, both ways.
     *
     * @param one the name of a data centre of the plan
     * @param other the name of another
     */
    public void stall(String one, String other) throws IOException, InterruptedException {
        both("stall", one, other, "");
    }

    /**
     * Delays all bytes between two data centres, each way.
     *
     * @param one the name of a data centre of the plan
     * @param other the name of another
     * @param milliseconds the one-way latency
     */
    public void setLatency(String one, String other, long milliseconds) throws IOException, InterruptedException {
        both("latency", one, other, "&ms=" + milliseconds);
    }

    /**
     * Bounds the bandwidth between two data centres, each way, for all connections between them together.
     *
     * @param one the name of a data centre of the plan
     * @param other the name of another
     * @param bitsPerSecond the bandwidth; 0 sets no bound
     */
    public void setBandwidth(String one, String other, long bitsPerSecond) throws IOException, InterruptedException {
        both("bandwidth", one, other, "&bits=" + bitsPerSecond);
    }

    /**
     * Resets the connections that lead to a VM and refuses new ones.
     *
     * @param vm the VM
     */
    public void cutTo(FleetVm vm) throws IOException, InterruptedException {
        send("cut?to=" + vm.innerAddress());
    }

    /**
     * Keeps the connections that lead to a VM open and passes nothing on.
     *
     * @param vm the VM
     */
    public void stallTo(FleetVm vm) throws IOException, InterruptedException {
        send("stall?to=" + vm.innerAddress());
    }

    /** Drops all rules; connections that were reset stay closed. */
    public void heal() throws IOException, InterruptedException {
        send("heal");
    }

    /** Returns the open connections and the bytes passed on so far as JSON. */
    public String status() throws IOException, InterruptedException {
        return http.get(endpoint, "control/status");
    }

    Endpoint endpoint() {
        return endpoint;
    }

    boolean ready() throws InterruptedException {
        return http.answers(endpoint, "control/status");
    }

    private void both(String command, String one, String other, String options)
            throws IOException, InterruptedException {
        send(command + "?from=" + prefix(one) + "&to=" + prefix(other) + options);
        send(command + "?from=" + prefix(other) + "&to=" + prefix(one) + options);
    }

    private void send(String command) throws IOException, InterruptedException {
        http.get(endpoint, "control/" + command);
    }

    private String prefix(String dataCentre) {
        for (int place = 0; place < plan.dataCentres().size(); place++) {
            if (plan.dataCentres().get(place).name().equals(dataCentre)) {
                return "127." + plan.addressBlock() + "." + (place + 1) + ".";
            }
        }
        throw new IllegalArgumentException("the plan has no data centre " + dataCentre);
    }
}
