package org.plantainshunt.bench.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

import org.plantainshunt.configuration.DataCentre;
import org.plantainshunt.standins.Endpoint;

/**
 * A VM of a fleet: a backend server process and, if the plan has nodes, the node process beside it.
 *
 * <p>Confined to the thread that runs the test.
 */
public final class FleetVm {
    private static final int CALLER_PORT = 7001;
    private static final int OUTBOUND_PORT = 7002;
    private static final int INNER_PORT = 7003;
    private static final int ADMIN_PORT = 7004;
    private static final int BACKEND_SERVER_PORT = 7005;
    private static final int RELAYED_INNER_PORT = 7013;
    private static final int RELAYED_BACKEND_SERVER_PORT = 7015;

    private final Fleet fleet;
    private final String name;
    private final String service;
    private final DataCentre dataCentre;
    private final String address;
    private final boolean relayed;
    private Optional<ChildProcess> backendServer = Optional.empty();
    private Optional<ChildProcess> node = Optional.empty();
    private boolean leaving;

    FleetVm(Fleet fleet, String name, String service, DataCentre dataCentre, String address, boolean relayed) {
        this.fleet = fleet;
        this.name = name;
        this.service = service;
        this.dataCentre = dataCentre;
        this.address = address;
        this.relayed = relayed;
    }

    /** Returns the name of the VM, which is also the name of its node and of its backend server. */
    public String name() {
        return name;
    }

    /** Returns the service of the backend server. */
    public String service() {
        return service;
    }

    /** Returns the data centre. */
    public String dataCentre() {
        return dataCentre.name();
    }

    /** Returns the region of the data centre. */
    public String region() {
        return dataCentre.region();
    }

    /** Returns where callers of the node connect. */
    public Endpoint callerAddress() {
        return new Endpoint(address, CALLER_PORT);
    }

    /** Returns where the backend server makes its calls. */
    public Endpoint outboundAddress() {
        return new Endpoint(address, OUTBOUND_PORT);
    }

    /** Returns where other nodes connect. */
    public Endpoint innerAddress() {
        return new Endpoint(address, INNER_PORT);
    }

    /** Returns the admin endpoint of the node. */
    public Endpoint adminAddress() {
        return new Endpoint(address, ADMIN_PORT);
    }

    /** Returns the endpoint of the backend server. */
    public Endpoint backendServerAddress() {
        return new Endpoint(address, BACKEND_SERVER_PORT);
    }

    /** Returns where the VM list says that other nodes connect: the relay before the node, if there is one. */
    Endpoint listedAddress() {
        return relayed ? new Endpoint(address, RELAYED_INNER_PORT) : innerAddress();
    }

    /** Returns where the node connects to its backend server: the relay before it, if there is one. */
    Endpoint backendServerAddressForNode() {
        return relayed ? new Endpoint(address, RELAYED_BACKEND_SERVER_PORT) : backendServerAddress();
    }

    /** Returns whether the VM list says that the VM is leaving. */
    public boolean leaving() {
        return leaving;
    }

    void setLeaving(boolean next) {
        leaving = next;
    }

    /**
     * Starts the node, which must not run.
     *
     * @throws IOException if it cannot be started
     */
    public void startNode() throws IOException {
        refuseSecond(node, "node");
        node = Optional.of(fleet.launchNode(this));
    }

    /**
     * Starts the backend server, which must not run.
     *
     * @throws IOException if it cannot be started
     */
    public void startBackendServer() throws IOException {
        refuseSecond(backendServer, "backend server");
        backendServer = Optional.of(fleet.launchBackendServer(this));
    }

    /** Sends SIGKILL to the node and waits for its end. */
    public void killNode() throws InterruptedException {
        running(node, "node").kill();
    }

    /** Sends SIGKILL to the backend server and waits for its end. */
    public void killBackendServer() throws InterruptedException {
        running(backendServer, "backend server").kill();
    }

    /** Stops the node in its tracks with SIGSTOP. */
    public void freezeNode() throws IOException, InterruptedException {
        running(node, "node").freeze();
    }

    /** Lets a frozen node go on. */
    public void resumeNode() throws IOException, InterruptedException {
        running(node, "node").resume();
    }

    /** Stops the backend server in its tracks with SIGSTOP. */
    public void freezeBackendServer() throws IOException, InterruptedException {
        running(backendServer, "backend server").freeze();
    }

    /** Lets a frozen backend server go on. */
    public void resumeBackendServer() throws IOException, InterruptedException {
        running(backendServer, "backend server").resume();
    }

    /** Asks the node to stop as planned with SIGTERM, and returns at once. */
    public void terminateNode() {
        running(node, "node").terminate();
    }

    /** Returns whether the node has ended; waits for it as long as the time given. */
    public boolean awaitNodeEnd(Duration time) throws InterruptedException {
        return running(node, "node").awaitEnd(time);
    }

    /** Returns whether the node's process runs. */
    public boolean nodeAlive() {
        return node.isPresent() && node.get().alive();
    }

    /** Returns whether the backend server's process runs. */
    public boolean backendServerAlive() {
        return backendServer.isPresent() && backendServer.get().alive();
    }

    /** Returns the process id of the node, for measurements below /proc. */
    public long nodePid() {
        return running(node, "node").pid();
    }

    /** Makes the backend server report that it drains. */
    public void drain() throws IOException, InterruptedException {
        control("drain");
    }

    /**
     * Makes the backend server report a state of health.
     *
     * @param state serving, draining or failing
     */
    public void setHealth(String state) throws IOException, InterruptedException {
        control("health?state=" + state);
    }

    /**
     * Makes the backend server slower.
     *
     * @param factor on the service times; 1 for the usual ones
     */
    public void slowBy(double factor) throws IOException, InterruptedException {
        control("slow?factor=" + factor);
    }

    /**
     * Makes the health and load reports of the backend server late.
     *
     * @param lag how late
     */
    public void setReportLag(Duration lag) throws IOException, InterruptedException {
        control("lag?milliseconds=" + lag.toMillis());
    }

    /**
     * Reads a path of the node's admin endpoint.
     *
     * @param path for example {@code status}
     * @return the answer's body
     * @throws IOException if the answer's status is not 200
     */
    public String admin(String path) throws IOException, InterruptedException {
        return fleet.http().get(adminAddress(), path);
    }

    /**
     * Returns whether the backend server answers and the node is ready.
     *
     * @throws IOException if one of them has ended
     */
    boolean ready() throws IOException, InterruptedException {
        if (!backendServerAlive() || (node.isPresent() && !nodeAlive())) {
            throw new IOException("a process of " + name + " has ended");
        }
        boolean serverReady = fleet.http().answers(backendServerAddress(), "plantainshunt/health");
        return serverReady && (node.isEmpty() || fleet.http().answers(adminAddress(), "ready"));
    }

    void killAll() throws InterruptedException {
        if (node.isPresent()) {
            node.get().kill();
        }
        if (backendServer.isPresent()) {
            backendServer.get().kill();
        }
    }

    private void control(String command) throws IOException, InterruptedException {
        fleet.http().get(backendServerAddress(), "control/" + command);
    }

    private void refuseSecond(Optional<ChildProcess> process, String what) {
        if (process.isPresent() && process.get().alive()) {
            throw new IllegalStateException("the " + what + " of " + name + " still runs");
        }
    }

    private ChildProcess running(Optional<ChildProcess> process, String what) {
        return process.orElseThrow(() -> new IllegalStateException("the " + what + " of " + name + " was not started"));
    }
}
