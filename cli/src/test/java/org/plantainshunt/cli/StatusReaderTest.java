package org.plantainshunt.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against nodes that are missing from the table or pass for healthy because they do not answer. */
class StatusReaderTest {
    private static final String STATUS = "{\"node\":\"vm-1\",\"service\":\"archive\",\"state\":\"serving\","
            + "\"ready\":true,\"configuration\":{\"number\":42,\"digest\":\"0123456789abcdef\",\"rejection\":null},"
            + "\"running\":3,\"waiting\":4,\"limit\":30,\"level\":512,\"incarnation\":7,\"uptimeSeconds\":9,"
            + "\"upstreams\":[{\"vm\":\"a\",\"service\":\"archive\",\"state\":\"usable\"},"
            + "{\"vm\":\"b\",\"service\":\"archive\",\"state\":\"leaving\"}]}";

    private final List<HttpServer> servers = new ArrayList<>();

    @AfterEach
    void stopServers() {
        servers.forEach(server -> server.stop(0));
    }

    @Test
    void answeringNodesAreShownWithTheirStatus() throws IOException {
        CommandResult run = CommandResult.of("status", server(200, STATUS));
        assertEquals(ExitCode.SUCCESS, run.exitCode());
        assertRow(run, 1, "vm-1 archive serving yes 42 01234567 3 4 30 512 1/2 -");
    }

    @Test
    void nodesThatRejectedADocumentAreUnhealthy() throws IOException {
        String rejected = STATUS.replace("\"rejection\":null", "\"rejection\":\"line 3: no\\nsuch key\"");
        CommandResult run = CommandResult.of("status", server(200, rejected));
        assertEquals(ExitCode.CHECK_FAILED, run.exitCode());
        assertRow(run, 1, "vm-1 archive serving yes 42 01234567 3 4 30 512 1/2 line 3: no such key");
    }

    @Test
    void escapeSequencesOfANodeDoNotReachTheTerminal() throws IOException {
        CommandResult run = CommandResult.of("status", server(200, STATUS.replace("vm-1", "vm-1\\u001b[2J")));
        assertTrue(run.out().contains("vm-1 [2J"), run.out());
    }

    @Test
    void nodesWithoutConfigurationAreUnhealthy() throws IOException {
        CommandResult run =
                CommandResult.of("status", server(200, "{\"node\":\"vm-2\",\"state\":\"starting\",\"ready\":false}"));
        assertEquals(ExitCode.CHECK_FAILED, run.exitCode());
        assertTrue(run.out().contains("none"), run.out());
    }

    @Test
    void nodesThatDoNotAnswerAreShownAndFailTheCommand() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            String silentNode = "127.0.0.1:" + silent.getLocalPort();
            String missing = "127.0.0.1:" + closedPort();
            CommandResult run = CommandResult.of(
                    "status", silentNode, missing, server(500, "{}"), server(200, "<html>"), server(200, STATUS));
            assertEquals(ExitCode.UNREADABLE, run.exitCode());
            assertRow(run, 1, silentNode + " - no answer - - - - - - - no answer within 3 s");
            assertRow(run, 2, missing + " - no answer - - - - - - - connection refused");
            assertTrue(run.out().contains("HTTP status 500"), run.out());
            assertTrue(run.out().contains("the answer is not JSON"), run.out());
            assertRow(run, 5, "vm-1 archive serving yes 42 01234567 3 4 30 512 1/2 -");
        }
    }

    private static void assertRow(CommandResult run, int row, String expected) {
        assertEquals(expected, run.out().split("\n")[row].replaceAll(" +", " "));
    }

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private String server(int status, String body) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 5);
        server.createContext("/status", exchange -> {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        });
        server.start();
        servers.add(server);
        return "127.0.0.1:" + server.getAddress().getPort();
    }
}
