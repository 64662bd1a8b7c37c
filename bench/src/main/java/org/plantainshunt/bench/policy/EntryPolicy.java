package org.plantainshunt.bench.policy;

import java.util.Map;
import java.util.Optional;

/** The decisions of an entry node on requests from callers and on the outbound calls of its backend server. */
interface EntryPolicy {
    /** Chooses the server for the first attempt or refuses the call. */
    Route routeFirstAttempt(OutboundCall call, long now);

    /** Chooses the server for a retry after a failed attempt; empty if the failure is final. */
    Optional<Node> chooseRetryServer(OutboundCall call, Reply failed, long now);

    /** Called when an attempt ends, by a reply, a timeout or a cancellation. */
    void attemptEnded(OutboundCall call, Node server, Reply reply, long now);

    /** Called when a call ends, after its last attempt. */
    void callEnded(OutboundCall call);

    /** Returns the admission levels by service that the node adds to its own replies. */
    Map<String, Integer> levels(long now);

    /** Closes the retry accounting of an inbound call and returns the unused retries of its share. */
    int closeAllowance(InboundCall inbound);

    /** Either the chosen server or the reply that refuses the call. */
    record Route(Optional<Node> server, Optional<Reply> refusal) {
        static Route to(Node server) {
            return new Route(Optional.of(server), Optional.empty());
        }

        static Route refuse(Reply refusal) {
            return new Route(Optional.empty(), Optional.of(refusal));
        }
    }
}
