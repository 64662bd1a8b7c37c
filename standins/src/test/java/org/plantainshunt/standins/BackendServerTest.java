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

    /** Guards against a stand-in that accepts unlimited requests, with which tests could not cause overload. */
    @Test
    void shedsRequestsBeyondSlotsAndQueue() throws Exception {
        server = start(Map.of("ring", 200.0), List.of(), Optional.empty());
        List<CompletableFuture<HttpResponse<byte[]>>> responses = List.of(send("a"), send("b"), send("c"));
        List<Integer> statuses = responses.stream()
                .map(response -> response.join().statusCode())
                .sorted()
                .toList();
        assertEquals(List.of(200, 200, 503), statuses);
        long marked = responses.stream()
                .filter(response ->
                        response.join().headers().firstValue(HeaderNames.SHED).isPresent())
                .count();
        assertEquals(1, marked, "a node recognises a shed request only by its header");
    }

    /** Guards against accepting a response that is damaged or belongs to another request. */
    @Test
    void responseBodyIsVerifiable() throws Exception {
        server = start(Map.of("ring", 1.0), List.of(), Optional.empty());
        byte[] body = send("mine").join().body();
        assertEquals(Optional.empty(), ResponseBody.fault(body, "mine"));
        assertTrue(ResponseBody.fault(body, "other").isPresent());
        assertTrue(
                ResponseBody.fault(Arrays.copyOf(body, body.length - 1), "mine").isPresent());
        body[body.length - 1]++;
        assertTrue(ResponseBody.fault(body, "mine").isPresent());
    }

    /** Guards against requests that keep running after cancellation or their deadline, or that are not recorded. */
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

    /** Guards against health reports that change immediately although a lag is set. */
    @Test
    void reportsHealthAfterTheLag() throws Exception {
        server = start(Map.of("ring", 1.0), List.of(), Optional.empty());
        text("control/lag?milliseconds=60000");
        text("control/drain");
        assertEquals("serving", text("plantainshunt/health"));
        text("control/lag?milliseconds=0");
        assertEquals("draining", text("plantainshunt/health"));
    }

    /** Guards against outbound calls that are sent again without the issued ticket or without the context. */
    @Test
    void sendsCallAgainWithIssuedTicket() throws Exception {
        try (FakeNode node = new FakeNode(BackendServerTest::requireTicketThenRespond)) {
            server = start(
                    Map.of("ring", 1.0),
                    List.of(DeclaredCall.parse("ring=archive/store*2")),
                    Optional.of(node.endpoint()));
            HttpRequest request = request("ring")
                    .header(HeaderNames.WORK_ID, "w")
                    .header(HeaderNames.CONTEXT, "context")
                    .build();
            HttpResponse<byte[]> response = client.send(request, BodyHandlers.ofByteArray());
            assertEquals(200, response.statusCode(), response.headers().toString());
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
