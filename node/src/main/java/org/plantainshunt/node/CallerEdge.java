package org.plantainshunt.node;

import java.io.IOException;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.plantainshunt.configuration.Document;
import org.plantainshunt.http.CallSubmitter;
import org.plantainshunt.result.Refusal;

/** The server side of a node for its callers. Thread-safe. */
public interface CallerEdge extends AutoCloseable {
    /** Returns the number of requests whose response is not complete. */
    int openRequests();

    /** Returns the number of connections that are being closed and whose callers may still read responses. */
    int closingConnections();

    /** Starts draining: ends keep-alive on the connections of callers; new requests may be refused as well. */
    void drain();

    /** Stops accepting connections and begins to close those that have been used; requests in flight continue. */
    void stopListening();

    @Override
    void close() throws IOException;

    /**
     * What the node provides to the server.
     *
     * @param submitter accepts the calls
     * @param activeConfiguration returns the active configuration
     * @param ready returns whether the node accepts calls
     * @param refusals receives the id and the refusal of each request that the server refuses by itself
     * @param clock the node's monotonic clock, in nanoseconds
     */
    record Context(
            CallSubmitter submitter,
            Supplier<Optional<Document>> activeConfiguration,
            BooleanSupplier ready,
            BiConsumer<String, Refusal> refusals,
            LongSupplier clock) {}
}
