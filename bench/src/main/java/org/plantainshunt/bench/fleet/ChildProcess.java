package org.plantainshunt.bench.fleet;

import java.io.IOException;
import java.lang.ProcessBuilder.Redirect;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A process that a fleet has started, with its output in a file.
 *
 * <p>All that still run are killed when this Java process ends. Signals go only to its own id. Safe for use by
 * any thread.
 */
final class ChildProcess {
    private static final Set<ChildProcess> RUNNING = ConcurrentHashMap.newKeySet();
    private static final Duration KILL_TIME = Duration.ofSeconds(5);

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(ChildProcess::killAll, "kill-child-processes"));
    }

    private final String name;
    private final Process process;

    private ChildProcess(String name, Process process) {
        this.name = name;
        this.process = process;
    }

    /**
     * Starts a process.
     *
     * @param name its name in messages
     * @param command the program and its arguments
     * @param output the file that its output is appended to
     * @throws IOException if it cannot be started
     */
    static ChildProcess start(String name, List<String> command, Path output) throws IOException {
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(Redirect.appendTo(output.toFile()))
                .start();
        ChildProcess child = new ChildProcess(name, process);
        RUNNING.add(child);
        process.onExit().thenRun(() -> RUNNING.remove(child));
        return child;
    }

    boolean alive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Sends SIGKILL and waits for the end; does nothing if the process has ended. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        if (!process.waitFor(KILL_TIME.toMillis(), TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException(name + " outlived SIGKILL by " + KILL_TIME);
        }
    }

    /** Sends SIGTERM and returns at once. */
    void terminate() {
        process.destroy();
    }

    /** Waits for the end; returns false if the process still runs after the time. */
    boolean awaitEnd(Duration time) throws InterruptedException {
        return process.waitFor(time.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Sends SIGSTOP: the process makes no step until it is resumed. */
    void freeze() throws IOException, InterruptedException {
        signal("-STOP");
    }

    /** Sends SIGCONT. */
    void resume() throws IOException, InterruptedException {
        signal("-CONT");
    }

    private void signal(String signal) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("/bin/kill", signal, Long.toString(pid())).start();
        if (kill.waitFor() != 0) {
            throw new IOException("cannot send " + signal + " to " + name);
        }
    }

    private static void killAll() {
        RUNNING.forEach(child -> child.process.destroyForcibly());
    }
}
