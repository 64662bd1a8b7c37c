package org.plantainshunt.node;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/** Tests the node against malformed, slow and disconnecting callers, over raw sockets. */
class CallerEdgeTest {
    private static final int LARGE = 65 * 1024;
    /** More than the socket buffers of a connection hold. */
    private static final String HUGE = "x".repeat(8 * 1024 * 1024);

    private static NodeUnderTest fixture;

    @BeforeAll
    static void start() throws Exception {
        fixture = new NodeUnderTest(CallerEdgeTest::answer, Optional.empty());
    }

    @AfterAll
    static void stop() throws IOException {
        fixture.close();
    }

    @AfterEach
    void laterRequestsSucceed() throws IOException {
        assertEquals(1000, fixture.call(RawCaller.post("/front/browse/ok", "")).result());
    }

    private static boolean answer(FakeHttpServer.Request request, OutputStream out) throws IOException {
        if (request.method().equals("DELETE")) {
            return NodeUnderTest.answer(out, "");
        }
        if (request.path().endsWith("/huge")) {
            return NodeUnderTest.answer(out, HUGE);
        }
        if (request.path().endsWith("/silent")) {
            return true;
        }
        return NodeUnderTest.answer(
                out, request.path() + new String(request.body(), java.nio.charset.StandardCharsets.ISO_8859_1));
    }

    static List<Arguments> refusedRequests() {
        String chunked = "POST /front/browse/x HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(LARGE) + "\r\n" + "x".repeat(LARGE) + "\r\n0\r\n\r\n";
        return List.of(
                Arguments.of("no kind", RawCaller.post("/front", ""), 1300, 400),
                Arguments.of("no service", RawCaller.post("//browse", ""), 1300, 400),
                Arguments.of("root", RawCaller.post("/", ""), 1300, 400),
                Arguments.of(
                        "deadline", RawCaller.post("/front/browse", "", "Plantainshunt-Deadline: soon"), 1300, 400),
                Arguments.of("negative", RawCaller.post("/front/browse", "", "Plantainshunt-Deadline: -1"), 1300, 400),
                Arguments.of("attempt", RawCaller.post("/front/browse", "", "Plantainshunt-Attempt: 0"), 1300, 400),
                Arguments.of("not HTTP", "hello\r\n\r\n", 1300, 400),
                Arguments.of("bad length", "POST /front/browse HTTP/1.1\r\nContent-Length: many\r\n\r\n", 1300, 400),
                Arguments.of(
                        "bad chunk",
                        "POST /front/browse HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n",
                        1300,
                        400),
                Arguments.of("unknown service", RawCaller.post("/nobody/browse", ""), 1301, 404),
                Arguments.of("unknown kind", RawCaller.post("/front/nothing", ""), 1302, 404),
                Arguments.of(
                        "long header", RawCaller.post("/front/browse", "", "X-Long: " + "x".repeat(9000)), 1304, 431),
                Arguments.of(
                        "longer header",
                        RawCaller.post("/front/browse", "", "X-Long: " + "x".repeat(70_000)),
                        1304,
                        431),
                Arguments.of("long path", RawCaller.post("/front/browse/" + "x".repeat(9000), ""), 1304, 431),
                Arguments.of("large body", RawCaller.post("/front/browse", "x".repeat(LARGE)), 1303, 413),
                Arguments.of("large chunked body", chunked, 1303, 413),
                Arguments.of(
                        "spent deadline", RawCaller.post("/front/browse", "", "Plantainshunt-Deadline: 0"), 1102, 504));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("refusedRequests")
    void refusalsCarryCodeAndRequestId(String name, String request, int result, int status) throws IOException {
        RawCaller.Answer answer = fixture.call(request);
        assertEquals(result, answer.result(), answer.toString());
        assertEquals(status, answer.status());
        assertEquals("not-run", answer.run());
        assertFalse(answer.requestId().isEmpty());
        assertEquals(result, answer.json().path("code").asInt());
        assertEquals(answer.requestId(), answer.json().path("requestId").asText());
    }

    /** The rest of a refused request must not be parsed as the next request; the connection must stay usable. */
    @Test
    void connectionsAreReusedAfterARefusal() throws IOException {
        try (RawCaller caller = fixture.caller()) {
            assertEquals(
                    1302,
                    caller.send(RawCaller.post("/front/nothing", "body")).read().result());
            assertEquals(
                    1304,
                    caller.send(RawCaller.post("/front/browse", "body", "X-Long: " + "x".repeat(9000)))
                            .read()
                            .result());
            assertEquals(
                    "/browse/abody",
                    caller.send(RawCaller.post("/front/browse/a", "body"))
                            .read()
                            .body());
        }
    }

    @Test
    void pipelinedRequestsGetTheirOwnAnswers() throws IOException {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < 20; i++) {
            requests.append(RawCaller.post("/front/browse/" + i, "body" + i, "Plantainshunt-Request-Id: id-" + i));
        }
        try (RawCaller caller = fixture.caller()) {
            caller.send(requests.toString());
            for (int i = 0; i < 20; i++) {
                RawCaller.Answer answer = caller.read();
                assertEquals("/browse/" + i + "body" + i, answer.body());
                assertEquals("id-" + i, answer.requestId());
            }
        }
    }

    @Test
    void ticketsAreExchangedInTwoSteps() throws IOException {
        RawCaller.Answer first = fixture.call(RawCaller.post("/front/push/steps", "work"));
        assertEquals(1105, first.result());
        String again = RawCaller.post("/front/push/steps", "work", "Plantainshunt-Ticket: " + first.ticket());
        assertEquals(1000, fixture.call(again).result());
        RawCaller.Answer repeated = fixture.call(again);
        assertEquals(1001, repeated.result());
        assertEquals("/push/stepswork", repeated.body());
        assertEquals(1, fixture.backendServer.received("POST", "/push/steps").size());
    }

    /** A connection reset after a refusal would lose the refusal for a caller that is still writing its body. */
    @Test
    void callersThatStillWriteReadTheirRefusal() throws IOException {
        for (int i = 0; i < 5; i++) {
            RawCaller.Answer answer = fixture.call(RawCaller.post("/front/browse", "x".repeat(4 * 1024 * 1024)));
            assertEquals(1303, answer.result());
        }
    }

    /** A graceful shutdown waits for open requests, so a request must count as open until its response is written. */
    @Test
    void requestsAreOpenUntilTheirAnswersAreWritten() throws Exception {
        try (RawCaller caller = fixture.caller()) {
            caller.send(RawCaller.post("/front/wait/huge", ""));
            NodeUnderTest.await(() -> caller.isAnswered());
            Thread.sleep(300);
            assertEquals(1, fixture.openRequests());
            assertEquals(HUGE.length(), caller.read().body().length());
        }
        NodeUnderTest.await(() -> fixture.openRequests() == 0);
    }

    /** The deadline counts from the end of the headers, so that a slow body cannot hold a request open forever. */
    @Test
    void slowBodiesEndWithTheDeadline() throws Exception {
        try (RawCaller caller = fixture.caller()) {
            caller.send("POST /front/browse/slow HTTP/1.1\r\nHost: node\r\nContent-Length: 1000\r\n"
                    + "Plantainshunt-Deadline: 300\r\n\r\n");
            for (int i = 0; i < 6; i++) {
                caller.send("x");
                Thread.sleep(100);
            }
            RawCaller.Answer answer = caller.read();
            assertEquals(1102, answer.result(), answer.toString());
        }
        assertEquals(0, fixture.backendServer.received("POST", "/browse/slow").size());
        try (RawCaller caller = fixture.caller()) {
            caller.send("POST /front/wait/slow HTTP/1.1\r\nHost: node\r\nContent-Length: 10\r\n\r\n");
            for (int i = 0; i < 10; i++) {
                caller.send(Integer.toString(i));
                Thread.sleep(10);
            }
            assertEquals("/wait/slow0123456789", caller.read().body());
        }
    }

    @Test
    void callerDisconnectCancelsItsRequest() throws Exception {
        try (RawCaller caller = fixture.caller()) {
            caller.send(RawCaller.post("/front/wait/silent", "x"));
            NodeUnderTest.await(() ->
                    !fixture.backendServer.received("POST", "/wait/silent").isEmpty());
        }
        String call = fixture.backendServer
                .received("POST", "/wait/silent")
                .get(0)
                .headers()
                .get("plantainshunt-call");
        NodeUnderTest.await(() -> !fixture.backendServer
                .received("DELETE", "/plantainshunt/calls/" + call)
                .isEmpty());
        NodeUnderTest.await(() -> fixture.openRequests() == 0);
    }

    @Test
    void callerDisconnectWithinBodyReleasesTheRequest() throws Exception {
        try (RawCaller caller = fixture.caller()) {
            caller.send("POST /front/wait/half HTTP/1.1\r\nHost: node\r\nContent-Length: 1000\r\n\r\nhalf");
            NodeUnderTest.await(() -> fixture.openRequests() == 1);
        }
        NodeUnderTest.await(() -> fixture.openRequests() == 0);
        assertEquals(0, fixture.backendServer.received("POST", "/wait/half").size());
    }
}
