package org.plantainshunt.bench.capacity;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;

import org.plantainshunt.bench.fleet.Fleet;
import org.plantainshunt.bench.fleet.FleetDocument;
import org.plantainshunt.bench.fleet.FleetPlan;
import org.plantainshunt.bench.fleet.FleetVm;

/**
 * Measures the overhead of the control traffic of a node at several sizes of the VM list and the fleet, with real
 * processes.
 *
 * <p>CPU time and memory are read from /proc, the bytes of control frames from the nodes' metrics. Run with
 * {@code bin/measure-capacity}. Used by one thread.
 */
public final class CapacityProbe {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final int SETTLE_SECONDS = 8;
    private static final int MEASURE_SECONDS = 20;
    private static final int CHANGES = 30;
    private static final long CHANGE_INTERVAL_MILLISECONDS = 700;
    private static final int MILLISECONDS_PER_TICK = 10;
    /** Zero-based index of utime in /proc/PID/stat. */
    private static final int USER_TIME_FIELD = 13;
    /** Zero-based index of stime in /proc/PID/stat. */
    private static final int SYSTEM_TIME_FIELD = 14;

    private CapacityProbe() {}

    /** Runs all measurements, which takes about six minutes. */
    public static void main(String[] arguments) throws Exception {
        System.out.println("# size of the VM list, two real nodes: idle");
        measureListSizes(List.of(2, 100, 400, 800, 1600));
        System.out.println("# number of real nodes: idle, then with changes of a configuration of 64 services");
        for (int vms : List.of(2, 4, 8, 16)) {
            measureFleetSize(vms);
        }
    }

    private static void measureListSizes(List<Integer> sizes) throws Exception {
        try (Fleet fleet = start(1)) {
            long revision = 1000;
            for (int size : sizes) {
                publishList(fleet, revision++, size);
                Thread.sleep(SETTLE_SECONDS * 1000L);
                Usage before = Usage.of(fleet.vms().get(0));
                Thread.sleep(MEASURE_SECONDS * 1000L);
                print("list " + size, before, Usage.of(fleet.vms().get(0)), MEASURE_SECONDS);
            }
        }
    }

    private static void measureFleetSize(int vmsPerService) throws Exception {
        try (Fleet fleet = start(vmsPerService)) {
            fleet.platform().publish(DesignSizeDocument.document(2, DesignSizeDocument.SERVICES));
            Thread.sleep(SETTLE_SECONDS * 1000L);
            String name = "nodes " + fleet.vms().size();
            Usage before = Usage.of(fleet.vms().get(0));
            String reads = fleet.platform().counts();
            Thread.sleep(MEASURE_SECONDS * 1000L);
            Usage idle = Usage.of(fleet.vms().get(0));
            print(name + " idle", before, idle, MEASURE_SECONDS);
            System.out.println("  reads before " + reads + "\n  reads after  "
                    + fleet.platform().counts());
            for (int change = 0; change < CHANGES; change++) {
                fleet.platform().publish(DesignSizeDocument.document(3 + change, DesignSizeDocument.SERVICES));
                Thread.sleep(CHANGE_INTERVAL_MILLISECONDS);
            }
            Usage changed = Usage.of(fleet.vms().get(0));
            double seconds = CHANGES * CHANGE_INTERVAL_MILLISECONDS / 1000.0;
            print(name + " with " + CHANGES + " changes", idle, changed, seconds);
        }
    }

    private static Fleet start(int vmsPerService) throws Exception {
        FleetDocument document = FleetDocument.read(DesignSizeDocument.document(1, 2));
        FleetPlan plan = FleetPlan.small(document).withVmsPerService(vmsPerService);
        Fleet fleet = Fleet.start(plan, Files.createTempDirectory("capacity"));
        fleet.awaitReady(START_TIMEOUT);
        return fleet;
    }

    private static void publishList(Fleet fleet, long revision, int size) throws IOException, InterruptedException {
        StringBuilder text = new StringBuilder("[vm-list]\nrevision = " + revision + "\n");
        for (FleetVm vm : fleet.vms()) {
            text.append("\n[vm ").append(vm.name()).append("]\nservice = ").append(vm.service());
            text.append("\ndata-centre = ").append(vm.dataCentre());
            text.append("\naddress = ").append(vm.innerAddress().host());
            text.append("\ninner-port = ").append(vm.innerAddress().port()).append("\nstate = live\n");
        }
        for (int number = fleet.vms().size(); number < size; number++) {
            text.append(DesignSizeDocument.unreachableVm(number));
        }
        URI uri = URI.create("http://" + fleet.platform().endpoint() + "/control/vm-list");
        HttpRequest request = HttpRequest.newBuilder(uri)
                .PUT(HttpRequest.BodyPublishers.ofString(text.toString()))
                .build();
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
    }

    private static void print(String name, Usage before, Usage after, double seconds) {
        System.out.println(String.format(
                Locale.ROOT,
                "%-28s cpu %5.2f %% of a core, resident %6.1f MB, control in %6.0f B/s, out %6.0f B/s",
                name,
                (after.cpuMilliseconds - before.cpuMilliseconds) / seconds / 10,
                after.residentBytes / 1e6,
                (after.receivedBytes - before.receivedBytes) / seconds,
                (after.sentBytes - before.sentBytes) / seconds));
    }

    /** The resource usage of a process since its start, and its resident memory. */
    private record Usage(long cpuMilliseconds, long residentBytes, long receivedBytes, long sentBytes) {
        static Usage of(FleetVm vm) throws IOException, InterruptedException {
            Path process = Path.of("/proc", Long.toString(vm.nodePid()));
            String stat = Files.readString(process.resolve("stat"));
            // The split starts after pid and comm, the first two fields, because comm may contain spaces.
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            long ticks = Long.parseLong(fields[USER_TIME_FIELD - 2]) + Long.parseLong(fields[SYSTEM_TIME_FIELD - 2]);
            return new Usage(
                    ticks * MILLISECONDS_PER_TICK,
                    1024 * numberAfter(process.resolve("status"), "VmRSS:"),
                    metric(vm, "control.bytes-received"),
                    metric(vm, "control.bytes-sent"));
        }

        private static long metric(FleetVm vm, String name) throws IOException, InterruptedException {
            for (String line : vm.admin("metrics.txt").split("\n")) {
                if (line.startsWith("gauges." + name + " ")) {
                    return Long.parseLong(line.substring(line.indexOf(' ') + 1).trim());
                }
            }
            throw new IOException("the node has no metric " + name);
        }

        private static long numberAfter(Path file, String key) throws IOException {
            for (String line : Files.readAllLines(file)) {
                if (line.startsWith(key)) {
                    return Long.parseLong(line.substring(key.length()).trim().split(" ")[0]);
                }
            }
            throw new IOException(file + " has no " + key);
        }
    }
}
