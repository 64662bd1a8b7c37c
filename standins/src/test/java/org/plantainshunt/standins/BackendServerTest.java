package org.plantainshunt.standins;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ratpack.handling.Context;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class BackendServerTest {
    private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);

    private final HttpClient client = HttpClient.newHttpClient();

    @TempDir
    Path directory;

    private BackendServer server;

    @AfterEach
    void stop() throws Exception {
        server.close();
    }

    /** Guards against a stand-in without a limit, which would hide overload from the tests. */
    @Test
    void shedsRequestsBeyondSlotsAndQueue() throws Exception {
        server = start(Map.of("ring", 200.0), List.of(), Optional.empty());
        List<CompletableFuture<HttpResponse<byte[]>>> answers = List.of(send("a"), send("b"), send("c"));
        List<Integer> statuses = answers.stream()
                .map(answer -> answer.join().statusCode())
                .sorted()
                .toList();
        assertEquals(List.of(200, 200, 503), statuses);
        long marked = answers.stream()
                .filter(answer ->
                        answer.join().headers().firstValue(HeaderNames.SHED).isPresent())
                .count();
        assertEquals(1, marked, "a node tells a shed request from other answers by its header only");
    }

    /** Guards against a damaged or foreign answer that passes for a whole one. */
    @Test
    void responseBodyIsVerifiable() throws Exception {
        server = start(Map.of("ring", 1.0), List.of(), Optional.empty());
        byte[] body = send("mine").join().body();
        assertEquals(Optional.empty(), AnswerBody.fault(body, "mine"));
        assertTrue(AnswerBody.fault(body, "other").isPresent());
        assertTrue(
                AnswerBody.fault(Arrays.copyOf(body, body.length - 1), "mine").isPresent());
        body[body.length - 1]++;
        assertTrue(AnswerBody.fault(body, "mine").isPresent());
    }

    /** Guards against work that goes on after its caller has gone, and against a record that lacks it. */
    @Test
    void stopsAndRecordsCancelledAndLateRequests() throws Exception {
        server = start(Map.of("ring", 5_000.0), List.of(), Optional.empty());
        CompletableFuture<HttpResponse<byte[]>> cancelled = send("cancelled");
        while (!text("control/counts").contains("\"running\":1")) {
            Thread.onSpinWait();
        }
        client.send(request("plantainshunt/calls/cancelled").DELETE().build(), BodyHandlers.discarding());
        assertEquals(499, cancelled.join().statusCode());
        HttpRequest late = request("ring").header(HeaderNames.DEADLINE, "50").build();
        assertEquals(504, client.send(late, BodyHandlers.discarding()).statusCode());
        String record = text("control/record");
        assertTrue(record.contains("\"state\":\"cancelled\""), record);
        assertTrue(record.contains("\"state\":\"deadline-passed\""), record);
        assertTrue(text("control/counts").contains("\"running\":0"));
        assertEquals(6, Files.readAllLines(directory.resolve("record")).size());
    }

    /** Guards against health reports that follow at once where a test needs them late. */
    @Test
    void reportsHealthAfterTheLag() throws Exception {
        server = start(Map.of("ring", 1.0), List.of(), Optional.empty());
        text("control/lag?milliseconds=60000");
        text("control/drain");
        assertEquals("serving", text("plantainshunt/health"));
        text("control/lag?milliseconds=0");
        assertEquals("draining", text("plantainshunt/health"));
    }

    /** Guards against a caller that takes a new ticket, or drops the context, when it repeats a call. */
    @Test
    void repeatsCallWithIssuedTicket() throws Exception {
        try (FakeNode node = new FakeNode(BackendServerTest::requireTicketThenRespond)) {
            server = start(
                    Map.of("ring", 1.0),
                    List.of(DeclaredCall.parse("ring=archive/store*2")),
                    Optional.of(node.endpoint()));
            HttpRequest request = request("ring")
                    .header(HeaderNames.WORK_ID, "w")
                    .header(HeaderNames.CONTEXT, "context")
                    .build();
            HttpResponse<byte[]> answer = client.send(request, BodyHandlers.ofByteArray());
            assertEquals(200, answer.statusCode(), answer.headers().toString());
            assertEquals(
                    List.of(
                            "archive/store context null",
                            "archive/store context ticket",
                            "archive/store context null",
                            "archive/store context ticket"),
                    node.calls());
        }
    }

    private static void requireTicketThenRespond(Context context) {
        if (!FakeNode.requireTicket(context, "ticket")) {
            FakeNode.respondWithValidBody(context);
        }
    }

    private BackendServer start(Map<String, Double> kinds, List<DeclaredCall> calls, Optional<Endpoint> outbound)
            throws Exception {
        return new BackendServer(new BackendServerOptions(
                ANY_PORT,
                "bells",
                1,
                1,
                kinds,
                new ServiceTimes.Spread(0, 0, 1, 0),
                calls,
                1,
                outbound,
                1,
                0,
                100,
                Optional.of(directory.resolve("record"))));
    }

    private CompletableFuture<HttpResponse<byte[]>> send(String id) {
        HttpRequest request = request("ring?size=1000")
                .header(HeaderNames.WORK_ID, id)
                .header(HeaderNames.REQUEST_ID, "request of " + id)
                .header(HeaderNames.CALL, id)
                .build();
        return client.sendAsync(request, BodyHandlers.ofByteArray());
    }

    private String text(String path) throws Exception {
        return client.send(request(path).build(), BodyHandlers.ofString()).body();
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + server.endpoint() + "/" + path));
    }
}
