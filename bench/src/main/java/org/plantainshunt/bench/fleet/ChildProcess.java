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
 * A process started by a fleet, with its output redirected to a file.
 *
 * <p>A shutdown hook kills every child process that is still running. Signals are sent only to the process id of the
 * child, never by name or to a group. Safe for use by any thread.
 */
final class ChildProcess {
    private static final Set<ChildProcess> RUNNING = ConcurrentHashMap.newKeySet();
    private static final Duration KILL_TIMEOUT = Duration.ofSeconds(5);

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
     * @param name the name of the process in messages
     * @param command the program and its arguments
     * @param output the file to which standard output and standard error are appended
     * @throws IOException if the process cannot be started
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

    /** Sends SIGKILL and waits until the process has exited; does nothing if it has exited already. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        if (!process.waitFor(KILL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException(name + " did not exit after SIGKILL within " + KILL_TIMEOUT);
        }
    }

    /** Sends SIGTERM without waiting for the process to exit. */
    void terminate() {
        process.destroy();
    }

    /** Waits until the process has exited; returns false if it is still running after the timeout. */
    boolean awaitEnd(Duration timeout) throws InterruptedException {
        return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Sends SIGSTOP, which suspends the process until it is resumed. */
    void freeze() throws IOException, InterruptedException {
        signal("-STOP");
    }

    /** Sends SIGCONT, which resumes a suspended process. */
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
