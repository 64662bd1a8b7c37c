package org.plantainshunt.node;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Optional;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the result codes of requests to a backend server that breaks the HTTP exchange, over real sockets. */
class BackendServerEdgeTest {
    private static final String LARGE = "x".repeat(8 * 1024 * 1024 + 1);
    private static NodeUnderTest fixture;

    @BeforeAll
    static void start() throws Exception {
        fixture = new NodeUnderTest(BackendServerEdgeTest::answer, Optional.empty());
    }

    @AfterAll
    static void stop() throws IOException {
        fixture.close();
    }

    /** A broken exchange must not affect later requests. */
    @AfterEach
    void laterRequestsSucceed() throws IOException {
        assertEquals(1000, fixture.call(RawCaller.post("/front/browse/ok", "")).result());
    }

    private static boolean answer(FakeHttpServer.Request request, OutputStream out) throws IOException {
        String path = request.path();
        switch (path.substring(path.lastIndexOf('/') + 1)) {
            case "close":
                return false;
            case "close-when-reused":
                return request.number() == 1 && NodeUnderTest.answer(out, "first");
            case "half-length":
                NodeUnderTest.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                return false;
            case "half-chunked":
                NodeUnderTest.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
                return false;
            case "no-length":
                NodeUnderTest.write(out, "HTTP/1.1 200 OK\r\n\r\nuntil the end of the connection");
                return false;
            case "head-only":
                NodeUnderTest.write(out, "HTTP/1.1 200 OK\r\nContent-Le");
                return false;
            case "not-http":
                NodeUnderTest.write(out, "this is no HTTP\r\n\r\n");
                return false;
            case "large":
                return NodeUnderTest.answer(out, LARGE);
            case "large-chunked":
                return NodeUnderTest.write(
                        out,
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(LARGE.length())
                                + "\r\n" + LARGE + "\r\n0\r\n\r\n");
            case "chunked":
                return NodeUnderTest.write(
                        out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
            case "bad-chunk":
                NodeUnderTest.write(
                        out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nno size\r\n");
                return false;
            case "shed":
                return NodeUnderTest.write(
                        out, "HTTP/1.1 503 Busy\r\nPlantainshunt-Shed: 1\r\nContent-Length: 0\r\n\r\n");
            case "silent":
                return true;
            case "stall":
                return NodeUnderTest.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
            default:
                return NodeUnderTest.answer(out, "whole");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "chunked, 1000, run, 200",
        "close, 1200, unknown, 502",
        "half-length, 1203, unknown, 502",
        "half-chunked, 1203, unknown, 502",
        "bad-chunk, 1203, unknown, 502",
        "no-length, 1203, unknown, 502",
        "head-only, 1200, unknown, 502",
        "not-http, 1203, unknown, 502",
        "large, 1206, run, 502",
        "large-chunked, 1206, run, 502",
        "silent, 1202, unknown, 504",
        "stall, 1202, unknown, 504",
    })
    void brokenExchangesHaveTheirResult(String behaviour, int result, String run, int status) throws IOException {
        for (String kind : new String[] {"browse", "push"}) {
            RawCaller.Answer answer = callWithTicket(kind, behaviour);
            assertEquals(result, answer.result(), kind + ": " + abbreviate(answer.body()));
            assertEquals(run, answer.run());
            assertEquals(status, answer.status());
            assertFalse(answer.requestId().isEmpty());
            assertEquals(
                    kind.equals("push") ? 1 : runs("/browse/" + behaviour), runs("/" + kind + "/" + behaviour), kind);
        }
    }

    /** A request that was never sent is "not run" and voids its ticket; later requests must work. */
    @Test
    void refusedConnectionsAreNotRun() throws IOException {
        fixture.backendServer.refuseConnections();
        RawCaller.Answer answer = callWithTicket("push", "refused");
        fixture.backendServer.acceptConnections();
        assertEquals(1112, answer.result(), answer.body());
        assertEquals("not-run", answer.run());
        assertEquals(0, runs("/push/refused"));
    }

    /** An HTTP client that retries when a pooled connection breaks could run an at-most-once request twice. */
    @Test
    void requestsAreNotSentTwiceWhenAPooledConnectionBreaks() throws Exception {
        fixture.backendServer.closeConnections();
        Thread.sleep(100);
        assertEquals(1000, callWithTicket("browse", "close-when-reused").result());
        RawCaller.Answer answer = callWithTicket("push", "close-when-reused");
        assertTrue(answer.result() == 1200 || answer.result() == 1000, answer.body());
        assertEquals(1, runs("/push/close-when-reused"));
    }

    /** The next request must not fail because the server has closed an idle connection. */
    @Test
    void connectionsClosedWhileIdleAreNotUsed() throws Exception {
        assertEquals(1000, callWithTicket("push", "idle").result());
        fixture.backendServer.closeConnections();
        Thread.sleep(100);
        assertEquals(1000, callWithTicket("push", "idle").result());
        assertEquals(2, runs("/push/idle"));
    }

    /** The concurrency limit must decrease when the backend server sheds load. */
    @Test
    void shedRequestsShrinkTheLimit() throws Exception {
        int before = limit();
        assertEquals(503, callWithTicket("browse", "shed").status());
        NodeUnderTest.await(() -> limit() < before);
    }

    private static String abbreviate(String text) {
        return text.substring(0, Math.min(200, text.length()));
    }

    private static int limit() throws IOException {
        return fixture.admin("/status").json().path("limit").asInt();
    }

    private static int runs(String path) {
        return fixture.backendServer.received("POST", path).size();
    }

    /** Sends a request, with a fresh ticket if its kind asks for one. */
    private static RawCaller.Answer callWithTicket(String kind, String behaviour) throws IOException {
        String path = "/front/" + kind + "/" + behaviour;
        RawCaller.Answer answer = fixture.call(RawCaller.post(path, "body"));
        if (answer.result() != 1105) {
            return answer;
        }
        return fixture.call(RawCaller.post(path, "body", "Plantainshunt-Ticket: " + answer.ticket()));
    }
}
