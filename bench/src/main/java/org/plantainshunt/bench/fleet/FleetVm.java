package org.plantainshunt.bench.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

import org.plantainshunt.configuration.DataCentre;
import org.plantainshunt.standins.Endpoint;

/**
 * A VM of a fleet: a backend server process and, if the plan has nodes, its node process.
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

    /** Returns the address of the node for callers. */
    public Endpoint callerAddress() {
        return new Endpoint(address, CALLER_PORT);
    }

    /** Returns the address of the node for outbound calls of the backend server. */
    public Endpoint outboundAddress() {
        return new Endpoint(address, OUTBOUND_PORT);
    }

    /** Returns the address of the node for other nodes. */
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

    /** Returns the node's address in the VM list: that of the relay in front of the node, if there is one. */
    Endpoint listedAddress() {
        return relayed ? new Endpoint(address, RELAYED_INNER_PORT) : innerAddress();
    }

    /** Returns where the node connects to its backend server: the relay in front of it, if there is one. */
    Endpoint backendServerAddressForNode() {
        return relayed ? new Endpoint(address, RELAYED_BACKEND_SERVER_PORT) : backendServerAddress();
    }

    /** Returns whether the state of the VM in the VM list is leaving. */
    public boolean leaving() {
        return leaving;
    }

    void setLeaving(boolean next) {
        leaving = next;
    }

    /**
     * Starts the node, which must not be running.
     *
     * @throws IOException if it cannot be started
     */
    public void startNode() throws IOException {
        requireNotRunning(node, "node");
        node = Optional.of(fleet.launchNode(this));
    }

    /**
     * Starts the backend server, which must not be running.
     *
     * @throws IOException if it cannot be started
     */
    public void startBackendServer() throws IOException {
        requireNotRunning(backendServer, "backend server");
        backendServer = Optional.of(fleet.launchBackendServer(this));
    }

    /** Sends SIGKILL to the node and waits until it has exited. */
    public void killNode() throws InterruptedException {
        requireStarted(node, "node").kill();
    }

    /** Sends SIGKILL to the backend server and waits until it has exited. */
    public void killBackendServer() throws InterruptedException {
        requireStarted(backendServer, "backend server").kill();
    }

    /** Suspends the node with SIGSTOP. */
    public void freezeNode() throws IOException, InterruptedException {
        requireStarted(node, "node").freeze();
    }

    /** Resumes a frozen node with SIGCONT. */
    public void resumeNode() throws IOException, InterruptedException {
        requireStarted(node, "node").resume();
    }

    /** Suspends the backend server with SIGSTOP. */
    public void freezeBackendServer() throws IOException, InterruptedException {
        requireStarted(backendServer, "backend server").freeze();
    }

    /** Resumes a frozen backend server with SIGCONT. */
    public void resumeBackendServer() throws IOException, InterruptedException {
        requireStarted(backendServer, "backend server").resume();
    }

    /** Starts a graceful stop of the node with SIGTERM, without waiting for it to exit. */
    public void terminateNode() {
        requireStarted(node, "node").terminate();
    }

    /** Waits until the node has exited; returns false if it is still running after the timeout. */
    public boolean awaitNodeEnd(Duration timeout) throws InterruptedException {
        return requireStarted(node, "node").awaitEnd(timeout);
    }

    /** Returns whether the node's process is running. */
    public boolean nodeAlive() {
        return node.isPresent() && node.get().alive();
    }

    /** Returns whether the backend server's process is running. */
    public boolean backendServerAlive() {
        return backendServer.isPresent() && backendServer.get().alive();
    }

    /** Returns the process id of the node, for measurements from /proc. */
    public long nodePid() {
        return requireStarted(node, "node").pid();
    }

    /** Makes the backend server report that it is draining. */
    public void drain() throws IOException, InterruptedException {
        control("drain");
    }

    /**
     * Makes the backend server report this health state.
     *
     * @param state serving, draining or failing
     */
    public void setHealth(String state) throws IOException, InterruptedException {
        control("health?state=" + state);
    }

    /**
     * Multiplies the service times of the backend server.
     *
     * @param factor the factor; 1 for the configured service times
     */
    public void setServiceTimeFactor(double factor) throws IOException, InterruptedException {
        control("slow?factor=" + factor);
    }

    /**
     * Delays the health and load reports of the backend server.
     *
     * @param lag the delay
     */
    public void setReportLag(Duration lag) throws IOException, InterruptedException {
        control("lag?milliseconds=" + lag.toMillis());
    }

    /**
     * Sends a GET request to the node's admin endpoint.
     *
     * @param path for example {@code status}
     * @return the body of the response
     * @throws IOException if the status of the response is not 200
     */
    public String admin(String path) throws IOException, InterruptedException {
        return fleet.http().get(adminAddress(), path);
    }

    /**
     * Returns whether the backend server responds and the node, if there is one, is ready.
     *
     * @throws IOException if one of their processes has exited
     */
    boolean ready() throws IOException, InterruptedException {
        if (!backendServerAlive() || (node.isPresent() && !nodeAlive())) {
            throw new IOException("a process of " + name + " has exited");
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

    private void requireNotRunning(Optional<ChildProcess> process, String what) {
        if (process.isPresent() && process.get().alive()) {
            throw new IllegalStateException("the " + what + " of " + name + " is still running");
        }
    }

    private ChildProcess requireStarted(Optional<ChildProcess> process, String what) {
        return process.orElseThrow(() -> new IllegalStateException("the " + what + " of " + name + " was not started"));
    }
}
