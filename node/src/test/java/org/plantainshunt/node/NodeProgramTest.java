package org.plantainshunt.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the daemon as a process: exit codes, a log of JSON lines only, and a shutdown that aborts no request. */
class NodeProgramTest {
    @TempDir
    Path directory;

    @Test
    void invalidSettingsExitWithUsageCode() throws Exception {
        Path file = write(NodeSettingsTest.GOOD.replace("service = front", "srvice = front"));
        for (String[] arguments : new String[][] {{}, {"--check"}}) {
            Process process = start(file, arguments);
            assertTrue(process.waitFor(30, TimeUnit.SECONDS));
            assertEquals(2, process.exitValue());
            List<JsonNode> log = log();
            assertEquals(
                    "settings: unknown key [node] srvice",
                    log.get(0).path("message").asText());
        }
    }

    @Test
    void validSettingsPassTheCheck() throws Exception {
        Process process = start(write(NodeSettingsTest.GOOD), "--check");
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
        assertEquals(List.of(), log());
    }

    @Test
    void addressInUseExitsWithFailureCode() throws Exception {
        try (FakeHttpServer other = new FakeHttpServer((request, out) -> true)) {
            Process process = start(write(NodeSettingsTest.GOOD.replace("[::1]:7004", text(other.address()))));
            assertTrue(process.waitFor(60, TimeUnit.SECONDS));
            assertEquals(1, process.exitValue());
            List<JsonNode> log = log();
            assertEquals(
                    "the node cannot start",
                    log.get(log.size() - 1).path("message").asText());
        }
    }

    /** Ratpack's shutdown hook would stop the servers at SIGTERM, before the calls in flight have completed. */
    @Test
    void shutdownCompletesOpenRequestsAndLogsJsonOnly() throws Exception {
        InetSocketAddress caller = NodeUnderTest.freeAddress();
        InetSocketAddress inner = NodeUnderTest.freeAddress();
        try (FakeHttpServer platform = NodeUnderTest.platform(inner);
                FakeHttpServer backendServer = NodeUnderTest.backendServer((request, out) -> {
                    if (request.path().equals("/wait/slow")) {
                        sleep(1500);
                    }
                    return NodeUnderTest.answer(out, "whole");
                })) {
            Process process = start(write(NodeSettingsTest.GOOD
                    .replace("127.0.0.1:7001", text(caller))
                    .replace("127.0.0.1:7002", text(NodeUnderTest.freeAddress()))
                    .replace("127.0.0.1:7003", text(inner))
                    .replace("[::1]:7004", text(NodeUnderTest.freeAddress()))
                    .replace("127.0.0.1:7005", text(backendServer.address()))
                    .replace("127.0.0.1:7006", text(platform.address()))
                    .replace("127.0.0.1:7007, 127.0.0.2:7007", "")
                    .replace("spans = off", "spans = " + directory.resolve("spans"))));
            awaitReady(process, caller);
            try (RawCaller slow = new RawCaller(caller)) {
                slow.send(RawCaller.post("/front/wait/slow", ""));
                NodeUnderTest.await(
                        () -> !backendServer.received("POST", "/wait/slow").isEmpty());
                process.destroy();
                assertEquals("whole", slow.read().body());
            }
            assertTrue(process.waitFor(40, TimeUnit.SECONDS));
            List<JsonNode> log = log();
            assertEquals(
                    "node front-1 stopped",
                    log.get(log.size() - 1).path("message").asText());
            assertTrue(
                    log.stream().noneMatch(line -> line.path("level").asText().equals("ERROR")), log.toString());
        }
    }

    /** Waits until the process answers calls; a failure tells whether it still runs, and what it logged. */
    private void awaitReady(Process process, InetSocketAddress caller) throws Exception {
        try {
            NodeUnderTest.await(() -> isReady(caller));
        } catch (AssertionError e) {
            throw new AssertionError("not ready; the process runs: " + process.isAlive() + ", log: " + log(), e);
        }
    }

    private static boolean isReady(InetSocketAddress caller) {
        try {
            return RawCaller.call(caller, RawCaller.post("/front/browse/ok", ""))
                            .result()
                    == 1000;
        } catch (IOException e) {
            // The process is not listening yet.
            return false;
        }
    }

    private static void sleep(long milliseconds) throws IOException {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private Path write(String settings) throws IOException {
        return Files.writeString(directory.resolve("node.ini"), settings);
    }

    private Process start(Path settings, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-cp",
                System.getProperty("java.class.path"),
                NodeMain.class.getName(),
                "--settings",
                settings.toString()));
        command.addAll(List.of(arguments));
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve("output").toFile())
                .start();
    }

    /** Returns the output of the last process; a line that is not JSON fails the test. */
    private List<JsonNode> log() throws IOException {
        List<JsonNode> lines = new ArrayList<>();
        for (String line : Files.readAllLines(directory.resolve("output"))) {
            lines.add(new ObjectMapper().readTree(line));
        }
        return lines;
    }
}
