package org.plantainshunt.bench.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import org.plantainshunt.configuration.Kind;
import org.plantainshunt.standins.Endpoint;
import org.plantainshunt.standins.RequestRecord;

/**
 * A platform, nodes and backend servers as processes on loopback addresses of this machine.
 *
 * <p>For example {@code try (Fleet fleet = Fleet.start(plan, directory)) { fleet.awaitReady(time); }}. Closing kills
 * every process, and so does the exit of this JVM. Confined to the thread that runs the test.
 */
public final class Fleet implements AutoCloseable {
    private static final int PLATFORM_PORT = 7000;
    private static final int SEED_COUNT = 3;
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    /** Short, because requests are queued by the node in front of each backend server. */
    private static final int BACKEND_SERVER_QUEUE_LENGTH = 4;

    private static final String SHARED_SECRET = "fleet-of-the-test-harness";

    private final FleetPlan plan;
    private final Path directory;
    private final ControlClient http = new ControlClient();
    private final List<FleetVm> vms = new ArrayList<>();
    private final FleetPlatform platform;
    private final ChildProcess platformProcess;
    private final boolean withRelays;
    private Optional<FleetRelays> relays = Optional.empty();

    private Fleet(FleetPlan plan, Path directory, boolean withRelays) throws IOException {
        this.plan = plan;
        this.directory = directory;
        this.withRelays = withRelays;
        Endpoint endpoint = new Endpoint(platformHost(1), PLATFORM_PORT);
        this.platform = new FleetPlatform(endpoint, http);
        this.platformProcess =
                launch("platform", Programs.standin(), List.of("platform", "--listen", endpoint.toString()));
    }

    /**
     * Starts all processes, and publishes the configuration document and the VM list. Returns before the fleet is
     * ready; see {@link #awaitReady}.
     *
     * @param plan what to start
     * @param directory an existing directory for settings, output and records
     * @throws IOException if a process cannot be started
     */
    public static Fleet start(FleetPlan plan, Path directory) throws IOException, InterruptedException {
        return start(plan, directory, false);
    }

    /**
     * Starts a fleet like {@link #start}, with a relay in each link between nodes, to backend servers and to the
     * platform.
     *
     * @param plan what to start
     * @param directory an existing directory for settings, output and records
     * @throws IOException if a process cannot be started
     */
    public static Fleet startWithRelays(FleetPlan plan, Path directory) throws IOException, InterruptedException {
        return start(plan, directory, true);
    }

    private static Fleet start(FleetPlan plan, Path directory, boolean withRelays)
            throws IOException, InterruptedException {
        Fleet fleet = new Fleet(plan, directory, withRelays);
        try {
            fleet.startProcesses();
            return fleet;
        } catch (IOException | InterruptedException | RuntimeException failure) {
            fleet.close();
            throw failure;
        }
    }

    /** Returns the plan. */
    public FleetPlan plan() {
        return plan;
    }

    /** Returns the platform. */
    public FleetPlatform platform() {
        return platform;
    }

    /** Returns the relays of a fleet that was started by {@link #startWithRelays}. */
    public FleetRelays relays() {
        return relays.orElseThrow();
    }

    /** Returns all VMs, service by service. */
    public List<FleetVm> vms() {
        return List.copyOf(vms);
    }

    /**
     * Returns the VMs of a service.
     *
     * @param service the name of the service
     */
    public List<FleetVm> vms(String service) {
        return vms.stream().filter(vm -> vm.service().equals(service)).toList();
    }

    /** Returns the caller addresses of all nodes. */
    public List<Endpoint> callerAddresses() {
        return vms.stream().map(FleetVm::callerAddress).toList();
    }

    /**
     * Waits until every backend server responds and every node is ready.
     *
     * @param timeout how long to wait
     * @throws IOException if a process has exited or is not ready within the timeout; the message names its VM
     */
    public void awaitReady(Duration timeout) throws IOException, InterruptedException {
        long end = System.nanoTime() + timeout.toNanos();
        List<FleetVm> waiting = new ArrayList<>(vms);
        while (true) {
            List<FleetVm> notReady = new ArrayList<>();
            for (FleetVm vm : waiting) {
                if (!ready(vm)) {
                    notReady.add(vm);
                }
            }
            waiting = notReady;
            if (waiting.isEmpty()) {
                return;
            }
            if (System.nanoTime() > end) {
                throw new IOException("not ready after " + timeout + ": "
                        + waiting.stream().map(FleetVm::name).collect(Collectors.joining(", ")) + "; see " + directory);
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
    }

    /**
     * Sets the state of a VM to leaving or live, and publishes the VM list.
     *
     * @param vm the VM
     * @param leaving whether it is leaving
     */
    public void setLeaving(FleetVm vm, boolean leaving) throws IOException, InterruptedException {
        vm.setLeaving(leaving);
        platform.publishVmList(vms);
    }

    /**
     * Returns the last record of each request that reached a backend server, including servers that were killed.
     *
     * @throws IOException if a record file cannot be read
     */
    public List<RequestRecord> records() throws IOException {
        List<RequestRecord> records = new ArrayList<>();
        for (FleetVm vm : vms) {
            records.addAll(RecordFile.read(recordFile(vm)));
        }
        return records;
    }

    @Override
    public void close() {
        try {
            for (FleetVm vm : vms) {
                vm.killAll();
            }
            platformProcess.kill();
            if (relays.isPresent()) {
                relays.get().kill();
            }
        } catch (InterruptedException interrupted) {
            // The shutdown hook kills the remaining processes.
            Thread.currentThread().interrupt();
        }
    }

    ControlClient http() {
        return http;
    }

    /** Returns a loopback address that no VM uses. */
    String platformHost(int number) {
        return "127." + plan.addressBlock() + ".0." + number;
    }

    ChildProcess launchNode(FleetVm vm) throws IOException {
        Path settings = directory.resolve(vm.name() + ".ini");
        Endpoint platformLink =
                relays.map(links -> links.platformEndpoint(vm.dataCentre())).orElse(platform.endpoint());
        Files.writeString(settings, NodeSettingsText.of(vm, platformLink, seeds(), SHARED_SECRET));
        return launch(vm.name() + "-node", Programs.node(), List.of("--settings", settings.toString()));
    }

    ChildProcess launchBackendServer(FleetVm vm) throws IOException {
        List<String> options = new ArrayList<>(List.of(
                "backend-server",
                "--listen=" + vm.backendServerAddress(),
                "--service=" + vm.service(),
                "--name=" + vm.name(),
                "--slots=" + plan.slots(vm.service()),
                "--queue=" + BACKEND_SERVER_QUEUE_LENGTH,
                "--seed=" + vm.name().hashCode(),
                "--record=" + recordFile(vm)));
        if (plan.withNodes()) {
            options.add("--outbound=" + vm.outboundAddress());
        }
        for (Kind kind : plan.document().kinds()) {
            if (kind.service().equals(vm.service())) {
                options.add("--kind=" + kind.name() + "=" + plan.meanMilliseconds(kind));
                if (plan.withNodes()) {
                    kind.calls()
                            .forEach(call -> options.add("--call=" + kind.name() + "=" + call.service() + "/"
                                    + call.kind() + "*" + call.count()));
                }
            }
        }
        options.addAll(plan.backendServerOptions());
        return launch(vm.name() + "-backend-server", Programs.standin(), options);
    }

    private boolean ready(FleetVm vm) throws IOException, InterruptedException {
        try {
            return vm.ready();
        } catch (IOException failure) {
            throw new IOException(failure.getMessage() + "; see " + directory, failure);
        }
    }

    private void startProcesses() throws IOException, InterruptedException {
        createVms();
        for (FleetVm vm : vms) {
            vm.startBackendServer();
        }
        if (withRelays) {
            relays = Optional.of(new FleetRelays(this));
            relays.get().awaitReady();
        }
        awaitPlatform();
        platform.publish(plan.document().bytes());
        platform.publishVmList(vms);
        if (plan.withNodes()) {
            for (FleetVm vm : vms) {
                vm.startNode();
            }
        }
    }

    private void createVms() {
        int[] vmsInDataCentre = new int[plan.dataCentres().size()];
        for (FleetDocument.ServiceLimits service : plan.document().services()) {
            for (int index = 0; index < plan.vmsPerService(); index++) {
                int dataCentreIndex = index % plan.dataCentres().size();
                String address = "127." + plan.addressBlock() + "." + (dataCentreIndex + 1) + "."
                        + ++vmsInDataCentre[dataCentreIndex];
                vms.add(new FleetVm(
                        this,
                        service.name() + "-" + (index + 1),
                        service.name(),
                        plan.dataCentres().get(dataCentreIndex),
                        address,
                        withRelays));
            }
        }
    }

    private void awaitPlatform() throws IOException, InterruptedException {
        long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (!platform.ready()) {
            if (System.nanoTime() > end || !platformProcess.alive()) {
                throw new IOException("the platform is not ready; see " + directory);
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
    }

    ChildProcess launch(String name, List<String> program, List<String> options) throws IOException {
        List<String> command = new ArrayList<>(program);
        command.addAll(options);
        return ChildProcess.start(name, command, directory.resolve(name + ".out"));
    }

    private List<Endpoint> seeds() {
        return vms.stream().limit(SEED_COUNT).map(FleetVm::listedAddress).toList();
    }

    private Path recordFile(FleetVm vm) {
        return directory.resolve(vm.name() + ".records");
    }
}
