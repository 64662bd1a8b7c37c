package org.plantainshunt.bench.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Stream;

import org.plantainshunt.bench.InvariantChecker;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.result.RunState;
import org.plantainshunt.standins.AttemptRecord;
import org.plantainshunt.standins.KindLoad;
import org.plantainshunt.standins.RequestRecord;

import static org.junit.jupiter.api.Assertions.fail;

/** Helpers for fleet tests: the configuration document, loads of its kinds, waiting, and checks of the records. */
final class FleetTesting {
    static final Duration START_TIMEOUT = Duration.ofSeconds(60);

    private static final long POLL_MILLISECONDS = 20;
    private static final int RESPONSE_BYTES = 500;
    private static final int MAX_PRINTED = 10;

    private FleetTesting() {}

    /** Returns an empty directory that is kept after the test, with records and logs to diagnose a failure. */
    static Path directory(String name) throws IOException {
        Path directory = Path.of("target", "fleets", name).toAbsolutePath();
        if (Files.exists(directory)) {
            try (Stream<Path> files = Files.walk(directory)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
        return Files.createDirectories(directory);
    }

    static FleetDocument document() throws IOException {
        return FleetDocument.read(documentText(1).getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the document with limits that hold even on a busy machine, so that calls only fail because of faults. */
    static FleetDocument documentWithGenerousLimits() throws IOException {
        String text = documentText(1)
                .replaceAll("(?m)^deadline = .*$", "deadline = 10 s")
                .replaceAll("(?m)^slots = .*$", "slots = 64")
                .replace("connections = 200", "connections = 200\ntarget-queue-delay = 1 s");
        return FleetDocument.read(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns loads of all kinds at the same rate in requests per second. */
    static List<KindLoad> loads(FleetDocument document, double rate) {
        return document.kinds().stream()
                .map(kind -> load(document, kind.service(), kind.name()).withRate(rate))
                .toList();
    }

    /** Returns the document with this version number. */
    static String documentText(long version) throws IOException {
        try (var resource = FleetTesting.class.getResourceAsStream("/two-services.ini")) {
            String text = new String(resource.readAllBytes(), StandardCharsets.UTF_8);
            return text.replace("version = 1\n", "version = " + version + "\n");
        }
    }

    static KindLoad load(FleetDocument document, String service, String name) {
        Kind kind = document.kind(service, name).orElseThrow();
        return new KindLoad(
                service,
                name,
                kind.priorityClass(),
                kind.atMostOnce(),
                1,
                kind.deadline().toMillis(),
                RESPONSE_BYTES,
                0);
    }

    static KindLoad withResponseBytes(KindLoad load, int bytes) {
        return new KindLoad(
                load.service(),
                load.kind(),
                load.priorityClass(),
                load.atMostOnce(),
                load.rate(),
                load.deadlineMilliseconds(),
                bytes,
                load.bodyBytes());
    }

    /** Waits until a condition holds; fails with the description if it does not hold within the timeout. */
    static void await(String description, Duration timeout, Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + timeout.toNanos();
        while (!condition.call()) {
            if (System.nanoTime() > end) {
                fail("not within " + timeout + ": " + description);
            }
            Thread.sleep(POLL_MILLISECONDS);
        }
    }

    /** Fails if records of backend servers contradict the replies to callers, or show work that ran twice. */
    static void assertConsistentWithRecords(Fleet fleet, Collection<AttemptRecord> attempts) throws IOException {
        List<RequestRecord> requests = fleet.records();
        InvariantChecker checker = new InvariantChecker(
                (server, kind) -> atMostOnce(fleet, server, kind),
                fleet.plan().document().retriesPerRequest());
        List<String> faults = new ArrayList<>();
        checker.check(attempts, requests).forEach(violation -> faults.add(violation.toString()));
        checkTickets(attempts, requests, faults);
        checkRun(attempts, requests, faults);
        if (!faults.isEmpty()) {
            fail(faults.size() + " faults:\n"
                    + String.join("\n", faults.subList(0, Math.min(MAX_PRINTED, faults.size()))));
        }
    }

    private static boolean atMostOnce(Fleet fleet, String server, String kind) {
        FleetVm vm = fleet.vms().stream()
                .filter(each -> each.name().equals(server))
                .findFirst()
                .orElseThrow();
        return fleet.plan().document().kind(vm.service(), kind).orElseThrow().atMostOnce();
    }

    /** A ticket that ran on any delivery must not be reported as "not run" to another. */
    private static void checkTickets(
            Collection<AttemptRecord> attempts, List<RequestRecord> requests, List<String> faults) {
        Map<String, String> ticketOfAttempt = new HashMap<>();
        for (AttemptRecord attempt : attempts) {
            if (!attempt.ticket().isEmpty()) {
                ticketOfAttempt.put(attempt.attemptId(), attempt.ticket());
            }
        }
        Set<String> ran = new HashSet<>();
        requests.forEach(request -> ran.add(ticketOfAttempt.getOrDefault(request.attemptId(), "none")));
        for (AttemptRecord attempt : attempts) {
            boolean reportedNotRun = attempt.result() != 0 && attempt.run().equals(RunState.NOT_RUN.label());
            if (reportedNotRun && ran.contains(attempt.ticket())) {
                faults.add("result " + attempt.result() + " for a ticket that ran: " + attempt);
            }
        }
    }

    private static void checkRun(
            Collection<AttemptRecord> attempts, List<RequestRecord> requests, List<String> faults) {
        Set<String> arrived = new HashSet<>();
        requests.forEach(request -> arrived.add(request.workId()));
        for (AttemptRecord attempt : attempts) {
            if (attempt.run().equals(RunState.RUN.label()) && !arrived.contains(attempt.workId())) {
                faults.add("result " + attempt.result() + " for work that no backend server received: " + attempt);
            }
        }
    }
}
