package review.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the store, machines with an upstream and a node each.
 *
 * <p>The nodes are processes of their own, started with the command of the deploy file. Each machine has a loopback
 * address of its own, and the ports are the same on all machines.
 */
public final class Fleet implements AutoCloseable {
    private static final String[] ZONES = {"kgn-a", "mdv-a"};
    private static final String STORE_IP = "127.0.1.1";
    private static final int GRACE_SECONDS = 6;
    private static final long HEARTBEAT_MILLISECONDS = 1_500;
    private static final long READY_MILLISECONDS = 20_000;

    private final Record record;
    private final Path temporary;
    private final List<String> command;
    private final int port;
    private final Store store;
    private final List<Machine> machines = new ArrayList<>();
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
    private volatile boolean closed;

    /** A machine: its address, its upstream and its node. */
    public final class Machine {
        private final String ip;
        private final String zone;
        private final String service;
        private final long born = System.currentTimeMillis();
        private Upstream upstream;
        private Process node;
        private volatile boolean registered;
        private volatile String state = "ready";
        private int sequence;

        private Machine(String ip, String zone, String service) {
            this.ip = ip;
            this.zone = zone;
            this.service = service;
        }

        public String ip() {
            return ip;
        }

        public Upstream upstream() {
            return upstream;
        }

        public Process node() {
            return node;
        }

        public int outboundPort() {
            return port;
        }

        /** Returns the port of {@code appAddress}. */
        public int appPort() {
            return port + 1;
        }

        /** Returns a further port of the machine, for an upstream behind a proxy. */
        public int spareAppPort() {
            return port + 5;
        }

        public void upstream(Upstream started) {
            upstream = started;
        }

        /** Sends SIGTERM to the node's process. */
        public void terminateNode() {
            record.line("SIGTERM to the node on %s", ip);
            node.destroy();
        }

        /** Sends SIGKILL to the node's process and waits until it is gone. */
        public void killNode() throws InterruptedException {
            record.line("SIGKILL to the node on %s", ip);
            node.destroyForcibly().waitFor();
        }

        /** Registers the upstream in the store and renews the entry from now on. */
        public void register() {
            registered = true;
            beat();
        }

        public void state(String newState) {
            state = newState;
            beat();
        }

        public void unregister() {
            registered = false;
            store.remove("servers/" + upstream.id());
        }

        synchronized void beat() {
            if (registered) {
                store.put(
                        "servers/" + upstream.id(),
                        "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + appPort() + "\",\"zone\":\""
                                + zone + "\",\"version\":\"v1\",\"capacity\":" + upstream.capacity() + ",\"state\":\""
                                + state + "\",\"warmupLeft\":\"0ms\",\"sequence\":" + ++sequence + ",\"born\":" + born
                                + "}");
            }
        }

        /** Starts the node. */
        public void startNode() throws IOException {
            Path settings = temporary.resolve("node-" + ip + ".ini");
            Files.writeString(settings, settings());
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("PLANTAINSHUNT_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                    temporary.resolve("node-" + ip + ".out").toFile()));
            node = builder.start();
            record.line("started the node on %s", ip);
        }

        /** Waits until the node has ended. */
        public boolean awaitNodeEnd(long milliseconds) throws InterruptedException {
            return node.waitFor(milliseconds, TimeUnit.MILLISECONDS);
        }

        public boolean ready() {
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://" + ip + ":" + (port + 2) + "/api/ready"))
                    .timeout(Duration.ofSeconds(1))
                    .build();
            try {
                return http.send(request, HttpResponse.BodyHandlers.discarding())
                                .statusCode()
                        == 200;
            } catch (IOException e) {
                return false;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }

        /** Writes what the template of the deploy file renders. */
        private String settings() {
            return "[node]\nname = " + ip + "\ndata-centre = " + zone + "\nregion = kingston\nservice = " + service
                    + "\ncaller-address = " + ip + ":" + port + "\noutbound-address = " + ip + ":" + port
                    + "\ninner-address = " + ip + ":" + (port + 3) + "\nadmin-address = " + ip + ":" + (port + 4)
                    + "\n\n[backend-server]\naddress = " + ip + ":" + appPort() + "\n\n[platform]\naddress = "
                    + STORE_IP + ":" + port + "\n\n[seeds]\npeers = \n\n[security]\n"
                    + "shared-secret = change-this-secret-in-production\n\n[readiness]\naddress = " + ip + ":"
                    + (port + 2) + "\n\n[shutdown]\ngrace = " + GRACE_SECONDS + "s\n\n[data-centres]\n" + ZONES[0]
                    + " = kingston\n" + ZONES[1] + " = kingston\n";
        }
    }

    public Fleet(Record record) throws IOException {
        this.record = record;
        this.temporary = Files.createTempDirectory("review");
        this.command = command();
        this.port = freePorts();
        this.store = new Store(STORE_IP, port);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killNodes));
        Threads.start("heartbeats", () -> {
            while (!closed) {
                Threads.sleep(HEARTBEAT_MILLISECONDS);
                new ArrayList<>(machines).forEach(Machine::beat);
            }
        });
    }

    public Store store() {
        return store;
    }

    public List<Machine> machines() {
        return machines;
    }

    /** Adds a machine; its upstream and node are started by the case. */
    public Machine addMachine(String service) {
        int index = machines.size();
        Machine machine = new Machine("127.0.1." + (10 + index), ZONES[index % ZONES.length], service);
        machines.add(machine);
        return machine;
    }

    /** Waits until all nodes are ready; returns whether they are. */
    public boolean awaitReady() {
        long until = System.nanoTime() + READY_MILLISECONDS * 1_000_000;
        while (System.nanoTime() < until) {
            if (machines.stream().allMatch(Machine::ready)) {
                record.line("all nodes are ready");
                return true;
            }
            Threads.sleep(100);
        }
        return false;
    }

    /** Returns a configuration with one route and its service. */
    public static String configuration(
            String version, String host, String prefix, String kind, String timeout, String service) {
        return "{\"version\":\"" + version + "\",\"resources\":[{\"type\":\"routes\",\"metadata\":{\"name\":\"r-1\"},"
                + "\"spec\":{\"host\":\"" + host + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeout\":\"" + timeout + "\",\"targetLatency\":\"1500ms\",\"priority\":0,\"service\":\""
                + service + "\",\"maxAttempts\":2}},{\"type\":\"services\",\"metadata\":{\"name\":\"" + service
                + "\"},\"spec\":{\"healthPath\":\"/health\",\"maxConnections\":484,\"protocol\":\"h1\","
                + "\"tls\":false}},{\"type\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}]}";
    }

    @Override
    public void close() {
        closed = true;
        killNodes();
        store.close();
        for (Machine machine : machines) {
            try {
                if (machine.upstream != null) {
                    machine.upstream.close();
                }
                Files.copy(
                        temporary.resolve("node-" + machine.ip + ".out"),
                        Files.createDirectories(Path.of("target/review-logs")).resolve("node-" + machine.ip + ".out"),
                        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            } catch (IOException e) {
                record.line("on closing: %s", e.getMessage());
            }
        }
        try (var files = Files.walk(temporary)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            record.line("on closing: %s", e.getMessage());
        }
    }

    private void killNodes() {
        for (Machine machine : machines) {
            if (machine.node != null && machine.node.isAlive()) {
                machine.node.destroyForcibly();
            }
        }
    }

    /** Returns the words of the deploy file's run line. */
    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run line");
        }
        return List.of(run.group(1).split(" "));
    }

    /** Returns the first of six ports that are free on the loopback addresses. */
    private static int freePorts() throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            int first = 20_000 + 10 * ThreadLocalRandom.current().nextInt(1_000);
            if (allFree(first)) {
                return first;
            }
        }
        throw new IOException("found no free ports");
    }

    private static boolean allFree(int first) {
        for (String ip : List.of(STORE_IP, "127.0.1.10", "127.0.1.11", "127.0.1.12", "127.0.1.13")) {
            for (int offset = 0; offset < 6; offset++) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(InetAddress.getByName(ip), first + offset));
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }
}
