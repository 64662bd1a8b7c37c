package org.plantainshunt.node;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.plantainshunt.call.BackendServer;
import org.plantainshunt.control.DocumentFormats;
import org.plantainshunt.control.HealthWatch;
import org.plantainshunt.control.Platform;
import org.plantainshunt.duty.Worker;
import org.plantainshunt.http.AdminServer;
import org.plantainshunt.protocol.CallHandler;
import org.plantainshunt.protocol.InnerEndpoint;
import org.plantainshunt.protocol.InnerSettings;
import org.plantainshunt.protocol.PeerHandler;

/**
 * Creates the parts of a node that speak with its surroundings.
 *
 * <p>The methods are called once each, in the order of their declaration, while the node is created.
 */
public interface NodeParts {
    /** Returns what starts the workers of the decisions and of the control. */
    Worker.Factory workers();

    /** Returns the notations of the documents. */
    DocumentFormats formats();

    /**
     * Creates the reader of the platform's documents.
     *
     * @param admin the server whose threads may carry the reads
     * @throws Exception if the reader cannot be set up
     */
    Platform platform(AdminServer admin) throws Exception;

    /** Creates the reader of the backend server's health, where the platform does not list it. */
    Optional<HealthSource> health(AdminServer admin) throws Exception;

    /** Creates the end of the inner protocol. */
    InnerEndpoint inner(InnerSettings inner, CallHandler calls, PeerHandler peers);

    /**
     * Starts to listen for callers.
     *
     * @throws Exception if an address cannot be bound
     */
    CallerEdge callers(CallerEdge.Context context) throws Exception;

    /** Creates the client of the backend server on the node's VM. */
    LocalBackendServer backendServer(CallerEdge.Context context) throws Exception;

    /** Returns the times of a planned stop. */
    StopTimes stopTimes();

    /** Asks a backend server how it is. */
    @FunctionalInterface
    interface HealthSource {
        /** Asks once; the listener is called once, on any thread. */
        void read(Consumer<HealthWatch.Health> listener);
    }

    /** A backend server's client, which is closed with the node. */
    interface LocalBackendServer extends BackendServer, AutoCloseable {
        @Override
        void close() throws IOException;
    }

    /**
     * The times of a planned stop, counted from its beginning.
     *
     * @param serving how long calls for the backend server are still taken
     * @param listening how long new connections are still accepted
     * @param lastRequests how long requests may still arrive on the connections that were accepted last
     * @param longest how long calls that are open may take
     */
    record StopTimes(Duration serving, Duration listening, Duration lastRequests, Duration longest) {}
}
