package org.plantainshunt.bench.fleet;

import java.io.IOException;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.plantainshunt.standins.Endpoint;

/**
 * A relay process that injects network faults: it resets, stalls or throttles the connections that it forwards.
 *
 * <p>Connections are selected by prefixes of their IP:PORT addresses; an empty prefix matches all. Confined to
 * the thread that runs the test.
 */
public final class FleetRelay {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Endpoint control;
    private final ControlClient http;
    private final ChildProcess process;

    FleetRelay(Endpoint control, ControlClient http, ChildProcess process) {
        this.control = control;
        this.http = http;
        this.process = process;
    }

    /**
     * Resets open connections and each new one.
     *
     * @param from the prefix of the client addresses
     * @param to the prefix of the target addresses
     */
    public void cut(String from, String to) throws IOException, InterruptedException {
        command("cut?from=" + from + "&to=" + to);
    }

    /**
     * Keeps connections open without forwarding any data.
     *
     * @param from the prefix of the client addresses
     * @param to the prefix of the target addresses
     */
    public void stall(String from, String to) throws IOException, InterruptedException {
        command("stall?from=" + from + "&to=" + to);
    }

    /**
     * Limits the bandwidth of each direction.
     *
     * @param to the prefix of the target addresses
     * @param bitsPerSecond the limit for each direction, shared by all connections to these targets
     */
    public void limitBandwidth(String to, long bitsPerSecond) throws IOException, InterruptedException {
        command("bandwidth?to=" + to + "&bits=" + bitsPerSecond);
    }

    /** Removes all faults; connections that were reset stay closed. */
    public void heal() throws IOException, InterruptedException {
        command("heal");
    }

    /** Returns the number of bytes received from targets so far, forwarded or not. */
    public long bytesFromTargets() throws IOException, InterruptedException {
        return JSON.readTree(http.get(control, "control/status"))
                .path("bytesFromTarget")
                .asLong();
    }

    boolean ready() throws InterruptedException {
        return process.alive() && http.answers(control, "control/status");
    }

    void kill() throws InterruptedException {
        process.kill();
    }

    private void command(String text) throws IOException, InterruptedException {
        http.get(control, "control/" + text);
    }
}
