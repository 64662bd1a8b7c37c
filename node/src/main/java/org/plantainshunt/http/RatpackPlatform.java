package org.plantainshunt.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.plantainshunt.control.Platform;
import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;

/** Reads the platform's documents over HTTP, with Ratpack's client. Thread-safe. */
public final class RatpackPlatform implements Platform, AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_DOCUMENT_BYTES = 1024 * 1024;
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;

    private final String baseUri;
    private final ExecController executions;
    private final HttpClient client;

    /**
     * Creates the client.
     *
     * @throws IOException if the client cannot be set up
     */
    public RatpackPlatform(InetSocketAddress address, ExecController executions) throws IOException {
        this.baseUri = "http://" + address.getAddress().getHostAddress() + ":" + address.getPort() + "/";
        this.executions = executions;
        try {
            this.client = HttpClient.of(spec -> spec.execController(executions)
                    .poolSize(2)
                    .readTimeout(TIMEOUT)
                    .connectTimeout(TIMEOUT)
                    .maxContentLength(MAX_DOCUMENT_BYTES));
        } catch (Exception e) {
            throw new IOException("cannot create the HTTP client for the platform", e);
        }
    }

    @Override
    public void read(String name, Optional<String> entityTag, Consumer<Answer> listener) {
        executions
                .fork()
                .onError(error -> listener.accept(Answer.without(State.FAILED, String.valueOf(error.getMessage()))))
                .start(execution -> client.get(
                                URI.create(baseUri + name),
                                spec -> entityTag.ifPresent(
                                        tag -> spec.getHeaders().set("If-None-Match", tag)))
                        .then(response -> listener.accept(answer(response))));
    }

    @Override
    public void close() {
        client.close();
    }

    private static Answer answer(ReceivedResponse response) {
        int status = response.getStatusCode();
        if (status == NOT_MODIFIED) {
            return Answer.without(State.NOT_MODIFIED, "");
        }
        if (status != OK) {
            return Answer.without(State.FAILED, "the platform responded with status " + status);
        }
        Optional<String> tag = Optional.ofNullable(response.getHeaders().get("ETag"));
        return new Answer(State.NEW_DOCUMENT, response.getBody().getBytes(), tag, "");
    }
}
