package org.plantainshunt.bench.fleet;

import java.io.IOException;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.plantainshunt.standins.Endpoint;

/**
 * A relay process of a fleet, through which links can be cut, stalled and narrowed.
 *
 * <p>Scopes are prefixes of IP:PORT texts; an empty text matches all. Confined to the thread that runs the test.
 */
public final class FleetRelay {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Endpoint control;
    private final Control http;
    private final ChildProcess process;

    FleetRelay(Endpoint control, Control http, ChildProcess process) {
        this.control = control;
        this.http = http;
        this.process = process;
    }

    /**
     * Resets open and new connections.
     *
     * @param from prefix of the addresses that connect
     * @param to prefix of the targets
     */
    public void cut(String from, String to) throws IOException, InterruptedException {
        command("cut?from=" + from + "&to=" + to);
    }

    /**
     * Keeps connections open and passes nothing on.
     *
     * @param from prefix of the addresses that connect
     * @param to prefix of the targets
     */
    public void stall(String from, String to) throws IOException, InterruptedException {
        command("stall?from=" + from + "&to=" + to);
    }

    /**
     * Limits the bandwidth of each direction.
     *
     * @param to prefix of the targets
     * @param bitsPerSecond shared by all connections to these targets
     */
    public void narrow(String to, long bitsPerSecond) throws IOException, InterruptedException {
        command("bandwidth?to=" + to + "&bits=" + bitsPerSecond);
    }

    /** Drops all rules; connections that were reset stay closed. */
    public void heal() throws IOException, InterruptedException {
        command("heal");
    }

    /** Returns the bytes passed back from targets so far. */
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
