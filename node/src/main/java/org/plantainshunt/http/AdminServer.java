package org.plantainshunt.http;

import java.io.IOException;
import java.net.InetSocketAddress;

import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/** The HTTP server for operators, on Ratpack. Thread-safe. */
public final class AdminServer implements AutoCloseable {
    private final RatpackServer server;

    /**
     * Starts the server.
     *
     * @param address the address to listen on
     * @param pages the pages that it serves
     * @throws Exception if the address cannot be bound
     */
    public AdminServer(InetSocketAddress address, AdminPages pages) throws Exception {
        server = RatpackServer.start(spec -> spec.serverConfig(config -> config.address(address.getAddress())
                        .port(address.getPort())
                        .threads(1)
                        .development(false)
                        // Ratpack's shutdown hook would abort requests in flight at SIGTERM; the node stops its
                        // servers itself.
                        .registerShutdownHook(false))
                .handlers(chain -> {
                    for (String name : AdminPages.NAMES) {
                        chain.get(name, context -> send(context, name, pages));
                    }
                }));
    }

    /** Returns the executions that also run the requests to the platform and the checks of the backend server. */
    public ExecController executions() {
        return server.getRegistry().orElseThrow().get(ExecController.class);
    }

    @Override
    public void close() throws IOException {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IOException("cannot stop the admin server", e);
        }
    }

    private static void send(Context context, String name, AdminPages pages) {
        Promise.<BufferedHttpResponse>async(downstream -> pages.read(name, downstream::success))
                .then(page -> {
                    context.getResponse().status(page.status());
                    context.getResponse().send(page.header("Content-Type").orElseThrow(), page.body());
                });
    }
}
