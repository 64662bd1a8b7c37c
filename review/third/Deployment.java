package review.third;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: a store, and machines with an upstream and a node each. The nodes are
 * processes, started with the command of the deploy file and with settings rendered from its template. Thread-safe.
 */
final class Deployment implements AutoCloseable {
    /** One machine. */
    static final class Machine {
        final String ip;
        /** Where the node itself listens for other nodes, behind the relay at the machine's address. */
        final String innerIp;
        final String storeAddress;
        final String zone;
        final String service;
        String instance;
        Upstream upstream;
        Process node;

        Machine(String ip, String innerIp, String storeAddress, String zone, String service, String instance) {
            this.ip = ip;
            this.innerIp = innerIp;
            this.storeAddress = storeAddress;
            this.zone = zone;
            this.service = service;
            this.instance = instance;
        }
    }

    private static final long TIME_LIMIT_MS = 115_000;
    private static final Map<String, String> ZONES = new LinkedHashMap<>();

    static {
        ZONES.put("erie-a", "lake-erie");
        ZONES.put("huron-a", "lake-huron");
        ZONES.put("superior-a", "lake-erie");
        ZONES.put("erie-b", "lake-huron");
    }

    final CaseRecord record;
    final Store store = new Store();
    final Relay relay = new Relay();
    final List<Machine> machines = new CopyOnWriteArrayList<>();
    /** The slots of the upstreams that are added from now on. */
    int slots = Upstream.SLOTS;

    final int callerPort;
    final int readyPort;
    private final int innerPort;
    private final int adminPort;
    private final int upstreamPort;
    private final int storePort;
    private final Path folder;
    private final String run;
    private final String template;

    Deployment(CaseRecord record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("review-third");
        run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceAll("^run = \"|\"$", "");
        template = Files.readString(Path.of("deploy/node.ini"));
        int[] ports = freePorts(6);
        callerPort = ports[0];
        readyPort = ports[1];
        innerPort = ports[2];
        adminPort = ports[3];
        upstreamPort = ports[4];
        storePort = ports[5];
        Runtime.getRuntime().addShutdownHook(new Thread(this::endNodes));
        thread("time-limit", this::endInTime);
    }

    private void endInTime() {
        try {
            Thread.sleep(TIME_LIMIT_MS);
        } catch (InterruptedException e) {
            return;
        }
        record.say("the case took over " + TIME_LIMIT_MS + " ms");
        System.exit(2);
    }

    /** Ends the processes that this case started, also if the case itself is ended by a signal. */
    private void endNodes() {
        for (Machine machine : List.copyOf(machines)) {
            if (machine.node != null) {
                machine.node.destroyForcibly();
            }
        }
    }

    /** Adds a machine with its upstream, without starting its node. */
    Machine add(String zone, String service) throws IOException {
        int number = machines.size() + 1;
        Machine machine = new Machine(
                "127.0.7." + number,
                "127.0.9." + number,
                "127.0.8." + number,
                zone,
                service,
                "i-" + service + "-" + number);
        relay.add(machine.ip, machine.innerIp, innerPort);
        store.listen(machine.storeAddress, storePort);
        machine.upstream =
                new Upstream(record, service + "-" + number, machine.instance, machine.ip, upstreamPort, slots);
        machines.add(machine);
        register(machine, "ready");
        return machine;
    }

    void register(Machine machine, String state) {
        store.put(
                "servers/" + machine.instance,
                "{\"service\":\"" + machine.service + "\",\"address\":\"" + machine.ip + ":" + upstreamPort
                        + "\",\"zone\":\"" + machine.zone + "\",\"version\":\"v1\",\"capacity\":" + slots
                        + ",\"state\":\"" + state + "\",\"warmupLeft\":\"0ms\",\"sequence\":4,\"born\":"
                        + System.currentTimeMillis() + "}");
    }

    /** Starts all nodes and waits until they are ready. */
    boolean start() throws IOException, InterruptedException {
        for (Machine machine : machines) {
            startNode(machine);
        }
        for (Machine machine : machines) {
            if (!awaitReady(machine, 30)) {
                record.say("the node of " + machine.ip + " is not ready");
                return false;
            }
        }
        return true;
    }

    /** Returns a configuration with a route for browsing, one for uploads, and further ones with their service. */
    static String configuration(int version, Map<String, String> added) {
        StringBuilder resources = new StringBuilder();
        resources.append(route("r-browse", "/browse/", "safe", "800ms", 2, "playlist")).append(',');
        resources.append(route("r-upload", "/upload/", "unsafe", "1000ms", 0, "recorder")).append(',');
        added.forEach((name, service) -> resources
                .append(route("r-" + name, "/" + name + "/", "safe", "800ms", 2, service))
                .append(','));
        for (String service : List.of("playlist", "recorder", "scheduler", "archive")) {
            resources.append(service(service)).append(',');
        }
        return String.format("{\"version\":\"%08x\",\"resources\":[", version) + resources
                + "{\"type\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}]}";
    }

    static String route(String name, String prefix, String kind, String timeout, int priority, String service) {
        return "{\"type\":\"routes\",\"metadata\":{\"name\":\"" + name
                + "\"},\"spec\":{\"host\":\"bells.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeout\":\"" + timeout + "\",\"targetLatency\":\"1500ms\",\"priority\":" + priority
                + ",\"service\":\"" + service + "\",\"maxAttempts\":2}}";
    }

    static String service(String name) {
        return "{\"type\":\"services\",\"metadata\":{\"name\":\"" + name
                + "\"},\"spec\":{\"healthPath\":\"/health\",\"maxConnections\":484,\"protocol\":\"h1\",\"tls\":false}}";
    }

    void startNode(Machine machine) throws IOException {
        Path settings = folder.resolve(machine.ip + ".ini");
        Files.writeString(settings, settings(machine));
        ProcessBuilder builder = new ProcessBuilder(run.split(" "));
        builder.environment().put("PLANTAINSHUNT_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(machine.ip + ".log").toFile()));
        machine.node = builder.start();
        record.line("started the node of " + machine.ip + ", process " + machine.node.pid());
    }

    /** Waits until the readiness check of a node answers 200. */
    boolean awaitReady(Machine machine, double seconds) throws InterruptedException {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        while (System.nanoTime() < end) {
            if (isReady(machine)) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    boolean isReady(Machine machine) {
        try (Client client = new Client(machine.ip, readyPort)) {
            return client.send("GET", "ready", "/api/ready", "ready", 1_000, new byte[0]).status() == 200;
        }
    }

    /** Returns the lines of a node's log that contain a text. */
    List<String> log(Machine machine, String text) throws IOException {
        Path log = folder.resolve(machine.ip + ".log");
        return Files.readAllLines(log, StandardCharsets.UTF_8).stream()
                .filter(line -> line.contains(text))
                .toList();
    }

    private String settings(Machine machine) {
        StringBuilder zones = new StringBuilder();
        ZONES.forEach((zone, region) -> zones.append(zone).append(" = ").append(region).append('\n'));
        String text = template.replaceAll("(?s)\\{\\{#zones\\}\\}.*\\{\\{/zones\\}\\}\\n?", zones.toString());
        Map<String, String> values = new LinkedHashMap<>();
        values.put("ip", machine.ip);
        values.put("zone", machine.zone);
        values.put("region", ZONES.get(machine.zone));
        values.put("service", machine.service);
        values.put("listenersMap.outbound", machine.ip + ":" + callerPort);
        values.put("listenersMap.inbound", machine.innerIp + ":" + innerPort);
        values.put("listenersMap.ready", machine.ip + ":" + readyPort);
        values.put("internalPorts.0", String.valueOf(adminPort));
        values.put("appAddress", machine.ip + ":" + upstreamPort);
        values.put("platform.address", machine.storeAddress + ":" + storePort);
        values.put("seeds", "");
        values.put("bounds.grace", "6s");
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        return text;
    }

    /** Returns ports below the ephemeral range that are free at all addresses. */
    private static int[] freePorts(int count) throws IOException {
        int[] ports = new int[count];
        int next = 12_000 + (int) (ProcessHandle.current().pid() * 16 % 18_000);
        for (int found = 0; found < count; next++) {
            try (ServerSocket socket = new ServerSocket(next, 1, InetAddress.getByName("127.0.7.1"))) {
                ports[found++] = socket.getLocalPort();
            } catch (IOException e) {
                // In use; the next one is tried.
            }
        }
        return ports;
    }

    static Thread thread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Ends all processes that were started, and the stand-ins. */
    @Override
    public void close() throws IOException {
        endNodes();
        for (Machine machine : machines) {
            if (machine.node != null) {
                machine.node.onExit().orTimeout(5, TimeUnit.SECONDS).exceptionally(late -> null).join();
            }
            machine.upstream.close();
        }
        store.close();
        relay.close();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
