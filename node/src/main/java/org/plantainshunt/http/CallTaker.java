package org.plantainshunt.http;

import java.util.function.Consumer;

import org.plantainshunt.call.InboundCall;
import org.plantainshunt.call.ReplyListener;
import org.plantainshunt.protocol.CancelHandle;

/** Takes calls from an HTTP server to the decisions; never blocks and is safe for use by any thread. */
@FunctionalInterface
public interface CallTaker {
    /**
     * Takes a call, or returns false if the node is busy; then the listener is not called.
     *
     * @param call the call
     * @param reply receives the one reply
     * @param cancellation receives the handle for a caller that goes away
     */
    boolean take(InboundCall call, ReplyListener reply, Consumer<CancelHandle> cancellation);
}
