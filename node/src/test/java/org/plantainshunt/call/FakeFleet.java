package org.plantainshunt.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.InvalidDocumentException;
import org.plantainshunt.configuration.InvalidVmListException;
import org.plantainshunt.configuration.VmList;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Simulates nodes, backend servers and connections on a virtual clock; one seed determines all delays and faults. */
final class FakeFleet {
    static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

    private static final String DOCUMENT =
            """
            [document]
            version = 1
            name = test

            [region one]

            [data-centre one-1]
            region = one

            [service front]
            slots = 4
            connections = 20

            [service deep]
            slots = 2
            connections = 20

            [kind front push]
            class = critical
            runs = at-most-once
            deadline = 1 s

            [kind front browse]
            class = sheddable
            runs = repeatable
            deadline = 1 s
            calls = deep lookup x2

            [kind deep lookup]
            class = standard
            runs = repeatable
            deadline = 1 s

            [policy]
            retries-per-request = 3
            retry-budget = %s
            """;

    final Random random;
    final Map<String, FakeVm> vms = new HashMap<>();
    final Map<String, Integer> runs = new HashMap<>();
    final Document document;
    private final Map<Integer, FakeVm> byPort = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<String> trace = new ArrayList<>();
    private final VmList list;
    private long now;
    private long sequence;

    FakeFleet(long seed) throws InvalidDocumentException, InvalidVmListException {
        this(seed, "100 %");
    }

    FakeFleet(long seed, String retryBudget) throws InvalidDocumentException, InvalidVmListException {
        this(seed, Document.parse(DOCUMENT.formatted(retryBudget).getBytes(UTF_8)), list(), FakeBackendServer::new);
    }

    /** Creates the VMs of a list, whose entries differ in their ports, and starts their nodes. */
    FakeFleet(long seed, Document document, VmList list, Function<FakeVm, FakeBackendServer> backendServers) {
        random = new Random(seed);
        this.document = document;
        this.list = list;
        list.vms().forEach(vm -> {
            FakeVm fake = new FakeVm(this, vm, backendServers);
            vms.put(vm.name(), fake);
            byPort.put(vm.innerPort(), fake);
        });
        vms.values().forEach(FakeVm::start);
    }

    private static VmList list() throws InvalidVmListException {
        StringBuilder text = new StringBuilder("[vm-list]\nrevision = 1\n");
        int port = 7000;
        for (String name : List.of("front-1", "front-2", "front-3", "deep-1", "deep-2")) {
            String service = name.substring(0, name.indexOf('-'));
            text.append("\n[vm ").append(name).append("]\nservice = ").append(service);
            text.append("\ndata-centre = one-1\naddress = 127.0.0.1\nstate = live\ninner-port = ");
            text.append(port++).append('\n');
        }
        return VmList.parse(text.toString());
    }

    long now() {
        return now;
    }

    VmList vmList() {
        return list;
    }

    RandomGenerator random() {
        return random;
    }

    FakeVm randomVm() {
        return new ArrayList<>(vms.values()).get(random.nextInt(vms.size()));
    }

    FakeVm byPort(int port) {
        return byPort.get(port);
    }

    void schedule(long delay, Runnable task) {
        events.add(new Event(now + delay, sequence++, task));
    }

    long randomDelay(int maxMilliseconds) {
        return random.nextLong(maxMilliseconds * MILLISECOND + 1);
    }

    void log(String line) {
        trace.add(now / 1_000 + " us " + line);
    }

    String trace(String containing) {
        return String.join(
                "\n", trace.stream().filter(line -> line.contains(containing)).toList());
    }

    /** Records that a backend server received a request with this work. */
    void recordRun(String work) {
        runs.merge(work, 1, Integer::sum);
    }

    /** Returns a call to the service "deep" with this work, which arrives now. */
    InboundCall lookup(String work) {
        return new InboundCall(
                "deep",
                "lookup",
                "",
                "POST",
                List.of(),
                work.getBytes(UTF_8),
                work,
                Optional.empty(),
                OptionalLong.empty(),
                1,
                Optional.empty(),
                "",
                false,
                now);
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().time <= end) {
            Event event = events.poll();
            now = event.time;
            event.task.run();
        }
        now = end;
    }

    private record Event(long time, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time != other.time ? Long.compare(time, other.time) : Long.compare(sequence, other.sequence);
        }
    }
}
