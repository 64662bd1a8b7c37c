package org.plantainshunt.node;

import java.io.IOException;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.plantainshunt.configuration.Document;
import org.plantainshunt.http.CallTaker;
import org.plantainshunt.result.Refusal;

/** Where callers connect to a node. Safe for use by any thread. */
public interface CallerEdge extends AutoCloseable {
    /** Returns the number of requests without a whole answer. */
    int openRequests();

    /** Asks callers to use other connections from now on. */
    void leave();

    /** Accepts no further connections; those that are open go on. */
    void stopListening();

    @Override
    void close() throws IOException;

    /**
     * What an edge needs of its node.
     *
     * @param calls takes the calls
     * @param inForce returns the configuration that the decisions use
     * @param ready tells whether the node takes calls
     * @param refusedUnread takes the id of a request that the edge refused itself, and why
     * @param clock the node's monotonic clock, in nanoseconds
     */
    record Context(
            CallTaker calls,
            Supplier<Optional<Document>> inForce,
            BooleanSupplier ready,
            BiConsumer<String, Refusal> refusedUnread,
            LongSupplier clock) {}
}
