package org.plantainshunt.http;

import java.util.function.Consumer;

import org.plantainshunt.call.InboundCall;
import org.plantainshunt.call.ReplyListener;
import org.plantainshunt.protocol.CancelHandle;

/**
 * Submits calls from an HTTP server to the thread that decides on them, see
 * {@link org.plantainshunt.call.CallCoordinator}. Never blocks; thread-safe.
 */
@FunctionalInterface
public interface CallSubmitter {
    /**
     * Submits a call; returns false, without calling the listener, if the node is overloaded or still starting.
     *
     * @param call the call
     * @param reply receives exactly one reply
     * @param cancellation receives the handle that cancels the call if the caller disconnects
     */
    boolean submit(InboundCall call, ReplyListener reply, Consumer<CancelHandle> cancellation);
}
