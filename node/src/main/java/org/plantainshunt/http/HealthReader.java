package org.plantainshunt.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.function.Consumer;

import org.plantainshunt.control.HealthWatch.Health;
import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;

/** Requests the health of the backend server. Thread-safe. */
public final class HealthReader {
    private static final Duration TIMEOUT = Duration.ofMillis(500);
    private static final int OK = 200;

    private final URI uri;
    private final ExecController executions;
    private final HttpClient client;

    /**
     * Creates the reader.
     *
     * @throws IOException if the client cannot be set up
     */
    public HealthReader(InetSocketAddress backendServer, ExecController executions) throws IOException {
        this.uri = URI.create("http://" + backendServer.getAddress().getHostAddress() + ":" + backendServer.getPort()
                + "/plantainshunt/health");
        this.executions = executions;
        try {
            this.client = HttpClient.of(spec -> spec.execController(executions)
                    .poolSize(1)
                    .readTimeout(TIMEOUT)
                    .connectTimeout(TIMEOUT));
        } catch (Exception e) {
            throw new IOException("cannot create the HTTP client for the health endpoint", e);
        }
    }

    /** Requests the health once; the listener is called exactly once, on any thread. */
    public void read(Consumer<Health> listener) {
        executions.fork().onError(error -> listener.accept(Health.FAILING)).start(execution -> client.get(uri)
                .then(response -> listener.accept(health(response))));
    }

    private static Health health(ReceivedResponse response) {
        if (response.getStatusCode() != OK) {
            return Health.FAILING;
        }
        switch (response.getBody().getText().trim()) {
            case "serving":
                return Health.SERVING;
            case "draining":
                return Health.DRAINING;
            default:
                return Health.FAILING;
        }
    }
}
