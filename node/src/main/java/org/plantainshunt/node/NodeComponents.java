package org.plantainshunt.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.plantainshunt.call.BackendServer;
import org.plantainshunt.control.DocumentFormats;
import org.plantainshunt.control.HealthWatch;
import org.plantainshunt.control.Platform;
import org.plantainshunt.duty.Worker;
import org.plantainshunt.http.AdminPages;
import org.plantainshunt.protocol.CallHandler;
import org.plantainshunt.protocol.InnerEndpoint;
import org.plantainshunt.protocol.InnerSettings;
import org.plantainshunt.protocol.PeerHandler;

/**
 * Creates the adapters of a node: its worker threads, servers and clients.
 *
 * <p>Each method is called once, in the order of declaration, while the node is being constructed.
 */
public interface NodeComponents {
    /** Returns the factory for the workers of the call coordinator and of the fleet control. */
    Worker.Factory workers();

    /** Returns the formats of the configuration and VM list documents. */
    DocumentFormats formats();

    /**
     * Starts the server for operators.
     *
     * @throws Exception if the address cannot be bound
     */
    AutoCloseable admin(InetSocketAddress address, AdminPages pages) throws Exception;

    /**
     * Creates the client that reads the platform's documents.
     *
     * @throws Exception if the client cannot be set up
     */
    Platform platform() throws Exception;

    /** Creates the client of the backend server's health endpoint, unless the platform reports the health. */
    Optional<HealthSource> health() throws Exception;

    /** Creates this node's endpoint of the inner protocol. */
    InnerEndpoint inner(InnerSettings inner, CallHandler calls, PeerHandler peers);

    /**
     * Starts the server for callers.
     *
     * @throws Exception if an address cannot be bound
     */
    CallerEdge callers(CallerEdge.Context context) throws Exception;

    /** Creates the client of the backend server on the node's VM. */
    LocalBackendServer backendServer(CallerEdge.Context context) throws Exception;

    /** Returns the time limits of a graceful shutdown. */
    StopTimes stopTimes();

    /** Reads the health of a backend server. */
    @FunctionalInterface
    interface HealthSource {
        /** Requests the health once; the listener is called exactly once, on any thread. */
        void read(Consumer<HealthWatch.Health> listener);
    }

    /** A client of the backend server that is closed with the node. */
    interface LocalBackendServer extends BackendServer, AutoCloseable {
        @Override
        void close() throws IOException;
    }

    /**
     * The time limits of a graceful shutdown; all but {@code lastRequests} count from its start.
     *
     * @param serving how long calls for the backend server are still accepted
     * @param listening how long new connections are still accepted
     * @param lastRequests how long after {@code listening} requests may still arrive on the connections accepted last
     * @param calls how long callers' requests may take; their replies follow at once
     * @param timeout the timeout of the shutdown, after which the node closes even if replies are not delivered
     */
    record StopTimes(Duration serving, Duration listening, Duration lastRequests, Duration calls, Duration timeout) {}
}
