package org.plantainshunt.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/**
 * The HTTP server for operators: status, metrics and health of a node.
 *
 * <p>Serves {@code /status}, {@code /metrics}, {@code /metrics.txt}, {@code /health} and {@code /ready}, all of them
 * read-only. Thread-safe.
 */
public final class AdminServer implements AutoCloseable {
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final RatpackServer server;

    /**
     * Starts the server.
     *
     * @param address the address to listen on
     * @param status passes the node's status to a listener
     * @param metrics the metrics to report
     * @param ready whether the node accepts calls
     * @throws Exception if the address cannot be bound
     */
    public AdminServer(
            InetSocketAddress address,
            Consumer<Consumer<JsonNode>> status,
            MetricsReport metrics,
            BooleanSupplier ready)
            throws Exception {
        server = RatpackServer.start(spec -> spec.serverConfig(config -> config.address(address.getAddress())
                        .port(address.getPort())
                        .threads(1)
                        .development(false)
                        // Ratpack's shutdown hook would abort requests in flight at SIGTERM; the node stops its
                        // servers itself.
                        .registerShutdownHook(false))
                .handlers(chain -> chain.get("status", context -> status(context, status))
                        .get("metrics", context -> json(context, metrics.json()))
                        .get("metrics.txt", context -> context.getResponse().send("text/plain", metrics.text()))
                        .get("health", context -> context.getResponse().send("text/plain", "up\n"))
                        .get("ready", context -> readiness(context, ready.getAsBoolean()))));
    }

    /**
     * Returns the server, whose execution controller also runs the node's requests to the platform and its health
     * checks of the backend server.
     */
    public RatpackServer server() {
        return server;
    }

    @Override
    public void close() throws IOException {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IOException("cannot stop the admin server", e);
        }
    }

    private static void status(Context context, Consumer<Consumer<JsonNode>> status) {
        Promise.<JsonNode>async(downstream -> status.accept(downstream::success))
                .then(tree -> json(context, tree));
    }

    private static void json(Context context, JsonNode tree) throws Exception {
        context.getResponse().send("application/json", MAPPER.writeValueAsBytes(tree));
    }

    private static void readiness(Context context, boolean ready) {
        if (!ready) {
            context.getResponse().status(SERVICE_UNAVAILABLE);
        }
        context.getResponse().send("text/plain", ready ? "ready\n" : "not ready\n");
    }
}
