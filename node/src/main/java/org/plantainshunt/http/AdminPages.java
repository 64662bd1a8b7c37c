package org.plantainshunt.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.plantainshunt.protocol.Header;

/**
 * The pages for operators: status, metrics and health of a node, whatever server delivers them.
 *
 * <p>They are {@code status}, {@code metrics}, {@code metrics.txt}, {@code health} and {@code ready}, all of them
 * read-only. Thread-safe.
 */
public final class AdminPages {
    static final Set<String> NAMES = Set.of("status", "metrics", "metrics.txt", "health", "ready");

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String TEXT = "text/plain;charset=utf-8";
    private static final String JSON = "application/json";

    private final Consumer<Consumer<JsonNode>> status;
    private final MetricsReport metrics;
    private final BooleanSupplier ready;

    /**
     * Creates the pages.
     *
     * @param status passes the node's status to a listener
     * @param metrics the metrics to report
     * @param ready whether the node accepts calls
     */
    public AdminPages(Consumer<Consumer<JsonNode>> status, MetricsReport metrics, BooleanSupplier ready) {
        this.status = status;
        this.metrics = metrics;
        this.ready = ready;
    }

    /** Passes a page to a listener, at once or later and on any thread; an unknown name gives a response of 404. */
    public void read(String name, Consumer<BufferedHttpResponse> listener) {
        switch (name) {
            case "status" -> status.accept(tree -> listener.accept(response(OK, JSON, tree.toString())));
            case "metrics" -> listener.accept(response(OK, JSON, metrics.json().toString()));
            case "metrics.txt" -> listener.accept(response(OK, TEXT, metrics.text()));
            case "health" -> listener.accept(response(OK, TEXT, "up\n"));
            case "ready" -> listener.accept(
                    ready.getAsBoolean()
                            ? response(OK, TEXT, "ready\n")
                            : response(SERVICE_UNAVAILABLE, TEXT, "not ready\n"));
            default -> listener.accept(response(NOT_FOUND, TEXT, "no such page\n"));
        }
    }

    private static BufferedHttpResponse response(int status, String type, String body) {
        return new BufferedHttpResponse(
                status, List.of(new Header("Content-Type", type)), body.getBytes(StandardCharsets.UTF_8));
    }
}
