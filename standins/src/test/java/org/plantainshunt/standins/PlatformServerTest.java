package org.plantainshunt.standins;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.net.http.HttpTimeoutException;
import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PlatformServerTest {
    private final HttpClient client = HttpClient.newHttpClient();
    private PlatformServer server;

    @BeforeEach
    void start() throws Exception {
        server = new PlatformServer(new Endpoint("127.0.0.1", 0));
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
    }

    /** Guards against sending an unchanged document in full on each poll. */
    @Test
    void respondsNotModifiedForKnownEntityTag() throws Exception {
        put("configuration", "version one");
        HttpResponse<String> first = get("configuration", "");
        assertEquals("version one", first.body());
        String tag = first.headers().firstValue("ETag").orElseThrow();
        assertEquals(304, get("configuration", tag).statusCode());
        put("configuration", "version two");
        assertEquals("version two", get("configuration", tag).body());
        assertTrue(get("control/counts", "").body().contains("\"total\":3,\"notModified\":1"));
    }

    /** Guards against failure tests that pass only because the platform stand-in does not fail. */
    @Test
    void failsAccordingToMode() throws Exception {
        put("vm-list", "old");
        put("mode", "stale");
        put("vm-list", "new");
        assertEquals("old", get("vm-list", "").body());
        put("mode", "down");
        assertEquals(503, get("vm-list", "").statusCode());
        put("mode", "stalled");
        assertThrows(HttpTimeoutException.class, () -> get("vm-list", ""));
        put("mode", "ok");
        assertEquals("new", get("vm-list", "").body());
        assertEquals(400, put("mode", "asleep").statusCode());
    }

    private HttpResponse<String> get(String path, String entityTag) throws Exception {
        HttpRequest.Builder request = request(path).GET();
        if (!entityTag.isEmpty()) {
            request.header("If-None-Match", entityTag);
        }
        return client.send(request.build(), BodyHandlers.ofString());
    }

    private HttpResponse<String> put(String path, String body) throws Exception {
        return client.send(
                request("control/" + path).PUT(BodyPublishers.ofString(body)).build(), BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + server.endpoint() + "/" + path))
                .timeout(Duration.ofMillis(500));
    }
}
