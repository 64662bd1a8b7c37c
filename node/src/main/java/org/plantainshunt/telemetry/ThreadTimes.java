package org.plantainshunt.telemetry;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The CPU time of this process by thread, including the threads of the JVM, which its own interfaces do not report.
 *
 * <p>Read from Linux's /proc; empty where that is not available. Stateless and safe for use by any thread.
 */
public final class ThreadTimes {
    private static final Path TASKS = Path.of("/proc/self/task");

    private ThreadTimes() {}

    /** Returns the CPU time of the live threads in milliseconds, by name; threads of the same name are added up. */
    public static Map<String, Long> milliseconds() {
        return milliseconds(TASKS);
    }

    /**
     * Returns the CPU time of the live threads of a process, as {@link #milliseconds()} does.
     *
     * @param tasks the folder of the process's threads, {@code /proc/PID/task}
     */
    public static Map<String, Long> milliseconds(Path tasks) {
        Map<String, Long> nanoseconds = new TreeMap<>();
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(tasks)) {
            for (Path thread : threads) {
                add(thread, nanoseconds);
            }
        } catch (IOException e) {
            return Map.of();
        }
        nanoseconds.replaceAll((name, time) -> TimeUnit.NANOSECONDS.toMillis(time));
        return nanoseconds;
    }

    /** Adds the time of a thread, unless it ends meanwhile. */
    private static void add(Path thread, Map<String, Long> nanoseconds) {
        try {
            String name = Files.readString(thread.resolve("comm")).trim();
            String schedule = Files.readString(thread.resolve("schedstat"));
            long time = Long.parseLong(schedule.substring(0, schedule.indexOf(' ')));
            nanoseconds.merge(name, time, Long::sum);
        } catch (IOException | NumberFormatException | IndexOutOfBoundsException e) {
            return;
        }
    }
}
