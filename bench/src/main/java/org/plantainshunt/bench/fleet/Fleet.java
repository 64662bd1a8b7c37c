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
 * every process; so does the end of this Java process. Confined to the thread that runs the test.
 */
public final class Fleet implements AutoCloseable {
    private static final int PLATFORM_PORT = 7000;
    private static final int SEEDS = 3;
    private static final Duration POLL = Duration.ofMillis(50);
    /** Backend servers queue little of their own: their nodes keep the queue. */
    private static final int BACKEND_SERVER_QUEUE = 4;

    private static final String SHARED_SECRET = "fleet-of-the-test-harness";

    private final FleetPlan plan;
    private final Path directory;
    private final Control http = new Control();
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
     * Starts all processes and publishes the documents; {@link #awaitReady} waits until they serve.
     *
     * @param plan what to start
     * @param directory an existing directory for settings, output and records
     * @throws IOException if a process cannot be started
     */
    public static Fleet start(FleetPlan plan, Path directory) throws IOException, InterruptedException {
        return start(plan, directory, false);
    }

    /**
     * Does the same with a relay in each link between nodes, to backend servers and to the platform.
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
            fleet.begin();
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

    /** Returns the relays of a fleet that was started with them. */
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
    public List<Endpoint> entries() {
        return vms.stream().map(FleetVm::callerAddress).toList();
    }

    /**
     * Waits until each backend server answers and each node is ready.
     *
     * @param time the longest wait
     * @throws IOException if something is not ready by then or has ended; the message names it
     */
    public void awaitReady(Duration time) throws IOException, InterruptedException {
        long end = System.nanoTime() + time.toNanos();
        List<FleetVm> waiting = new ArrayList<>(vms);
        while (true) {
            List<FleetVm> still = new ArrayList<>();
            for (FleetVm vm : waiting) {
                if (!ready(vm)) {
                    still.add(vm);
                }
            }
            waiting = still;
            if (waiting.isEmpty()) {
                return;
            }
            if (System.nanoTime() > end) {
                throw new IOException("not ready after " + time + ": "
                        + waiting.stream().map(FleetVm::name).collect(Collectors.joining(", ")) + "; see " + directory);
            }
            Thread.sleep(POLL.toMillis());
        }
    }

    /**
     * Changes the state of a VM in the VM list and publishes the list.
     *
     * @param vm the VM
     * @param leaving whether it is leaving
     */
    public void setLeaving(FleetVm vm, boolean leaving) throws IOException, InterruptedException {
        vm.setLeaving(leaving);
        platform.publishVmList(vms);
    }

    /**
     * Returns the last known record of each request that reached a backend server, also of killed ones.
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
            // The shutdown hook kills what is left.
            Thread.currentThread().interrupt();
        }
    }

    Control http() {
        return http;
    }

    /** Returns an address outside those of VMs. */
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
                "--queue=" + BACKEND_SERVER_QUEUE,
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

    private void begin() throws IOException, InterruptedException {
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
        int[] inDataCentre = new int[plan.dataCentres().size()];
        for (FleetDocument.ServiceLimits service : plan.document().services()) {
            for (int index = 0; index < plan.vmsPerService(); index++) {
                int place = index % plan.dataCentres().size();
                String address = "127." + plan.addressBlock() + "." + (place + 1) + "." + ++inDataCentre[place];
                vms.add(new FleetVm(
                        this,
                        service.name() + "-" + (index + 1),
                        service.name(),
                        plan.dataCentres().get(place),
                        address,
                        withRelays));
            }
        }
    }

    private void awaitPlatform() throws IOException, InterruptedException {
        long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (!platform.ready()) {
            if (System.nanoTime() > end || !platformProcess.alive()) {
                throw new IOException("the platform does not answer; see " + directory);
            }
            Thread.sleep(POLL.toMillis());
        }
    }

    ChildProcess launch(String name, List<String> program, List<String> options) throws IOException {
        List<String> command = new ArrayList<>(program);
        command.addAll(options);
        return ChildProcess.start(name, command, directory.resolve(name + ".out"));
    }

    private List<Endpoint> seeds() {
        return vms.stream().limit(SEEDS).map(FleetVm::listedAddress).toList();
    }

    private Path recordFile(FleetVm vm) {
        return directory.resolve(vm.name() + ".records");
    }
}
