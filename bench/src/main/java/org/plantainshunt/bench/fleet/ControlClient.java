package org.plantainshunt.bench.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

import org.plantainshunt.standins.Endpoint;

/**
 * A blocking HTTP client for the control endpoints of stand-ins and the nodes' admin endpoints.
 *
 * <p>Uses the JDK's HTTP client, because the harness waits for each response and runs outside Ratpack's executions.
 * Safe for use by any thread.
 */
final class ControlClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int STATUS_OK = 200;

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    /**
     * Sends a GET request and returns the body of the response.
     *
     * @throws IOException if there is no response within 5 s or its status is not 200
     */
    String get(Endpoint endpoint, String path) throws IOException, InterruptedException {
        return body(request(endpoint, path).GET().build());
    }

    /**
     * Sends a PUT request.
     *
     * @throws IOException if there is no response within 5 s or its status is not 200
     */
    void put(Endpoint endpoint, String path, byte[] body) throws IOException, InterruptedException {
        body(request(endpoint, path).PUT(BodyPublishers.ofByteArray(body)).build());
    }

    /** Returns whether a GET request to this path is answered with status 200. */
    boolean answers(Endpoint endpoint, String path) throws InterruptedException {
        try {
            get(endpoint, path);
            return true;
        } catch (IOException notYet) {
            return false;
        }
    }

    private String body(HttpRequest request) throws IOException, InterruptedException {
        HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
        if (response.statusCode() != STATUS_OK) {
            throw new IOException(request.uri() + " answered " + response.statusCode() + ": " + response.body());
        }
        return response.body();
    }

    private static HttpRequest.Builder request(Endpoint endpoint, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + endpoint + "/" + path))
                .timeout(TIMEOUT);
    }
}
