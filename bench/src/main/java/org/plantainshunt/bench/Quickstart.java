package org.plantainshunt.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import org.plantainshunt.bench.fleet.FleetDocument;

/**
 * Starts scaled-down versions of both example deployments, generates an overload, and checks the invariants.
 *
 * <p>The exit status is 0 only if every kind of request was answered and every invariant held.
 */
public final class Quickstart {
    /** Limits the whole run, so that it ends even if a process hangs. */
    private static final Duration RUN_TIMEOUT = Duration.ofSeconds(88);
    /** The examples have up to 130 slots for each backend server, too many for a small machine to overload. */
    private static final int SLOT_DIVISOR = 4;

    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_TIMED_OUT = 3;
    private static final List<String> EXAMPLES = List.of("examples/bell-mesh.ini", "examples/polishing-line.ini");

    private Quickstart() {}

    /**
     * Runs the quickstart.
     *
     * @param arguments configuration documents; the examples by default
     * @throws Exception if a process cannot be started
     */
    public static void main(String[] arguments) throws Exception {
        limitTime();
        Path directory = Files.createTempDirectory("plantainshunt-quickstart");
        boolean held = true;
        for (String document : arguments.length == 0 ? EXAMPLES : List.of(arguments)) {
            Path runDirectory = Files.createDirectory(
                    directory.resolve(Path.of(document).getFileName().toString()));
            FleetDocument full = FleetDocument.read(Files.readAllBytes(Path.of(document)));
            held &= new QuickstartRun(full.withSlotsDividedBy(SLOT_DIVISOR), runDirectory, System.out).run();
        }
        if (!held) {
            System.out.println("FAILED; settings, output and records are in " + directory);
            System.exit(EXIT_FAILURE);
        }
        deleteRecursively(directory);
        System.out.println("All invariants held.");
        System.exit(0);
    }

    private static void limitTime() {
        Thread watchdog = new Thread(
                () -> {
                    try {
                        Thread.sleep(RUN_TIMEOUT.toMillis());
                    } catch (InterruptedException interrupted) {
                        return;
                    }
                    System.out.println("FAILED: not finished after " + RUN_TIMEOUT);
                    System.exit(EXIT_TIMED_OUT);
                },
                "time-limit");
        watchdog.setDaemon(true);
        watchdog.start();
    }

    private static void deleteRecursively(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.delete(file);
            }
        }
    }
}
