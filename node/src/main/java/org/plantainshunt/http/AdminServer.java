package org.plantainshunt.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/**
 * Shows operators what a node does.
 *
 * <p>Answers {@code /status}, {@code /metrics}, {@code /metrics.txt}, {@code /health} and {@code /ready}; changes
 * nothing. Safe for use by any thread.
 */
public final class AdminServer implements AutoCloseable {
    private static final int NOT_READY = 503;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final RatpackServer server;

    /**
     * Starts the server.
     *
     * @param address where to listen
     * @param status the node's status
     * @param metrics the metrics
     * @param ready whether the node takes calls
     * @throws Exception if the address cannot be bound
     */
    public AdminServer(
            InetSocketAddress address, Supplier<JsonNode> status, MetricsReport metrics, BooleanSupplier ready)
            throws Exception {
        server = RatpackServer.start(spec -> spec.serverConfig(config -> config.address(address.getAddress())
                        .port(address.getPort())
                        .threads(1)
                        .development(false)
                        // The node reads health and documents on this server's threads until its stop is done.
                        .registerShutdownHook(false))
                .handlers(chain -> chain.get("status", context -> json(context, status.get()))
                        .get("metrics", context -> json(context, metrics.json()))
                        .get("metrics.txt", context -> context.getResponse().send("text/plain", metrics.text()))
                        .get("health", context -> context.getResponse().send("text/plain", "up\n"))
                        .get("ready", context -> readiness(context, ready.getAsBoolean()))));
    }

    /** Returns the server, whose execution controller runs the node's requests to the platform. */
    public RatpackServer server() {
        return server;
    }

    @Override
    public void close() throws IOException {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IOException("the server did not stop", e);
        }
    }

    private static void json(Context context, JsonNode tree) throws Exception {
        context.getResponse().send("application/json", MAPPER.writeValueAsBytes(tree));
    }

    private static void readiness(Context context, boolean ready) {
        if (!ready) {
            context.getResponse().status(NOT_READY);
        }
        context.getResponse().send("text/plain", ready ? "ready\n" : "not ready\n");
    }
}
