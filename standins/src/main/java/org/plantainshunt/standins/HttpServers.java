package org.plantainshunt.standins;

import java.io.IOException;
import java.net.InetAddress;

import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.server.RatpackServer;

/** Starts and stops the Ratpack servers of the stand-ins. */
final class HttpServers {
    /** Maximum size of a request body in bytes; above the 1 MB limit of a configuration document. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private HttpServers() {}

    /**
     * Starts a server and returns it once it accepts connections.
     *
     * @throws Exception if the address cannot be bound
     */
    static RatpackServer start(Endpoint listen, int threads, Action<? super Chain> handlers) throws Exception {
        return RatpackServer.start(
                server -> server.serverConfig(config -> config.address(InetAddress.getByName(listen.host()))
                                .port(listen.port())
                                .threads(threads)
                                .development(false)
                                .registerShutdownHook(true)
                                .maxContentLength(MAX_BODY_BYTES))
                        .handlers(handlers));
    }

    /**
     * Stops a server.
     *
     * @throws IOException if the server cannot be stopped cleanly
     */
    static void stop(RatpackServer server) throws IOException {
        try {
            server.stop();
        } catch (Exception failure) {
            throw new IOException("cannot stop the HTTP server", failure);
        }
    }
}
