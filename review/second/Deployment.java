package secondreview;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the nodes as processes of their own, started with the command of the deploy
 * file, and stand-ins for the store and the upstreams. Confined to one thread, except where a method says otherwise.
 */
final class Deployment implements AutoCloseable {
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_BLOCKS = 1_900;
    private static final int STORE = 0;
    private static final int OUTBOUND = 1;
    private static final int READY = 2;
    private static final int INBOUND = 3;
    private static final int ADMIN = 4;
    private static final int APP = 5;
    private static final int PORTS = 6;
    private static final long READY_MILLISECONDS = 20_000;

    final Recorder record;
    final Store store;
    final String zone = "erie-a";
    private final Path folder;
    private final int firstPort;
    private final String network;
    private final Map<String, String> services = new LinkedHashMap<>();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final List<Upstream> upstreams = new ArrayList<>();
    private final String grace;

    /**
     * Creates a deployment without machines.
     *
     * @param record the record of the case
     * @param grace the grace time of the settings
     * @param machines the number of machines that will be added
     */
    Deployment(Recorder record, String grace, int machines) throws IOException {
        this.record = record;
        this.grace = grace;
        this.store = new Store(record);
        this.folder = Files.createTempDirectory("second-review");
        long pid = ProcessHandle.current().pid();
        this.network = "127." + (20 + pid % 100) + "." + (pid / 100 % 250) + ".";
        this.firstPort = freePorts(machines, (int) (pid % PORT_BLOCKS));
    }

    private int freePorts(int machines, int firstBlock) throws IOException {
        for (int block = 0; block < PORT_BLOCKS; block++) {
            int first = FIRST_PORT + (firstBlock + block) % PORT_BLOCKS * 10;
            if (areFree(machines, first)) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    private boolean areFree(int machines, int first) {
        for (int machine = 1; machine <= machines; machine++) {
            for (int port = first; port < first + PORTS; port++) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip(machine)))) {
                    socket.setReuseAddress(true);
                } catch (IOException used) {
                    return false;
                }
            }
        }
        return true;
    }

    String ip(int machine) {
        return network + machine;
    }

    /** Adds a machine: the address at which it reaches the store, and the settings of its node. */
    void machine(int machine, String service) throws IOException {
        services.put(ip(machine), service);
        store.serve(ip(machine), ip(machine), firstPort + STORE);
        Files.writeString(settingsFile(machine), settings(ip(machine), service));
    }

    /** Starts the upstream of a machine. */
    Upstream upstream(int machine, String id, int slots) throws IOException {
        Upstream upstream = new Upstream(record, id, ip(machine), firstPort + APP, slots);
        upstreams.add(upstream);
        return upstream;
    }

    /** Writes the registration of the upstream of a machine to the store. */
    void register(int machine, String id, int slots, String state) {
        store.put("servers/" + id, registration(services.get(ip(machine)), address(machine, APP), slots, state));
    }

    String registration(String service, String address, int slots, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"capacity\":" + slots + ",\"state\":\"" + state
                + "\",\"warmupLeft\":\"0ms\",\"sequence\":1,\"born\":" + System.currentTimeMillis() + "}";
    }

    /** Starts the node of a machine. */
    void start(int machine) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment()
                .put("PLANTAINSHUNT_NODE_FILE", settingsFile(machine).toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(machine)));
        processes.put(ip(machine), builder.start());
        record.line("node %s: started", ip(machine));
    }

    File log(int machine) {
        return folder.resolve("node-" + machine + ".log").toFile();
    }

    /** Returns the number of log lines of a node that contain a text. */
    long logLines(int machine, String text) throws IOException {
        try (Stream<String> lines = Files.lines(log(machine).toPath())) {
            return lines.filter(line -> line.contains(text)).count();
        }
    }

    Process process(int machine) {
        return processes.get(ip(machine));
    }

    /** Kills the node of a machine, and waits for its end. */
    void kill(int machine) throws InterruptedException {
        record.line("node %s: killed", ip(machine));
        process(machine).destroyForcibly().waitFor();
    }

    /** Tells the node of a machine to stop (SIGTERM), and waits for its end. */
    void stop(int machine) throws InterruptedException {
        record.line("node %s: SIGTERM", ip(machine));
        process(machine).destroy();
        process(machine).waitFor();
    }

    /** Waits until all given nodes are ready; returns whether they are. */
    boolean awaitReady(int... machines) throws InterruptedException {
        long end = record.now() + READY_MILLISECONDS;
        for (int machine : machines) {
            while (!ready(machine)) {
                if (record.now() > end) {
                    record.say("node %s is not ready", ip(machine));
                    return false;
                }
                Thread.sleep(100);
            }
        }
        record.line("nodes are ready");
        return true;
    }

    /** Returns whether the readiness check of a node is answered 200. Safe for use by any thread. */
    boolean ready(int machine) {
        try (Socket socket = new Socket(ip(machine), firstPort + READY)) {
            socket.setSoTimeout(1_000);
            Message.write(socket.getOutputStream(), "GET /api/ready HTTP/1.1", Map.of("Host", "ready"), new byte[0]);
            Message answer = Message.read(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException notReady) {
            return false;
        }
    }

    InetSocketAddress outbound(int machine) {
        return new InetSocketAddress(ip(machine), firstPort + OUTBOUND);
    }

    /** Connects to the outbound address of a machine. Safe for use by any thread. */
    Socket connect(int machine) throws IOException {
        Socket socket = new Socket(ip(machine), firstPort + OUTBOUND);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private String address(int machine, int port) {
        return ip(machine) + ":" + (firstPort + port);
    }

    private Path settingsFile(int machine) {
        return folder.resolve("boot-" + machine + ".toml");
    }

    /** Fills in the template of the deploy file. */
    private String settings(String ip, String service) throws IOException {
        String template = Files.readString(Path.of("deploy/node.ini"));
        Map<String, String> values = Map.of(
                "ip", ip,
                "zone", zone,
                "region", "lake-erie",
                "service", service,
                "listenersMap.outbound", ip + ":" + (firstPort + OUTBOUND),
                "listenersMap.inbound", ip + ":" + (firstPort + INBOUND),
                "listenersMap.ready", ip + ":" + (firstPort + READY),
                "internalPorts.0", String.valueOf(firstPort + ADMIN),
                "appAddress", ip + ":" + (firstPort + APP),
                "platform.address", ip + ":" + (firstPort + STORE));
        String text = template.replace("{{seeds}}", "")
                .replace("{{bounds.grace}}", grace)
                .replaceAll("(?s)\\{\\{#zones}}.*?\\{\\{/zones}}", zone + " = lake-erie\n");
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        return text;
    }

    /** Returns the words of {@code run} in the deploy file. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("the deploy file has no run line");
    }

    /** Returns a configuration with these routes and services, each a JSON object of the resource list. */
    static String configuration(int version, String... resources) {
        return "{\"version\":\"" + String.format(Locale.ROOT, "%08x", version) + "\",\"resources\":["
                + String.join(",", resources)
                + ",{\"type\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
                + "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}]}";
    }

    static String route(String name, String prefix, String kind, String timeout, String service) {
        return "{\"type\":\"routes\",\"metadata\":{\"name\":\"" + name + "\"},\"spec\":{\"host\":\"h.example\",\"prefix\":\""
                + prefix + "\",\"kind\":\"" + kind + "\",\"timeout\":\"" + timeout
                + "\",\"targetLatency\":\"1500ms\",\"priority\":0,\"service\":\"" + service + "\",\"maxAttempts\":2}}";
    }

    static String service(String name) {
        return "{\"type\":\"services\",\"metadata\":{\"name\":\"" + name
                + "\"},\"spec\":{\"healthPath\":\"/health\",\"maxConnections\":1012,\"protocol\":\"h1\",\"tls\":false}}";
    }

    /** Ends all processes that were started; safe for use by any thread. */
    void endProcesses() {
        for (Process process : processes.values()) {
            process.destroyForcibly();
        }
    }

    /** Ends everything that the deployment started. */
    @Override
    public void close() throws IOException {
        endProcesses();
        for (Upstream upstream : upstreams) {
            upstream.close();
        }
        store.close();
        String kept = System.getenv("KEEP_LOGS");
        if (kept != null) {
            System.out.println("logs are in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }
}
