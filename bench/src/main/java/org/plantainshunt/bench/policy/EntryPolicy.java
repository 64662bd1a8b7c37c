package org.plantainshunt.bench.policy;

import java.util.Map;
import java.util.Optional;

/** What a node decides for the calls that leave through it. */
interface EntryPolicy {
    /** Chooses the server of the first attempt or refuses the call. */
    Route routeFirstAttempt(OutboundCall call, long now);

    /** Chooses the server of another attempt after a failed one; empty if the failure is final. */
    Optional<Node> chooseRetryServer(OutboundCall call, Reply failed, long now);

    /** Takes note of the end of an attempt, whether by a reply or because the time ran out. */
    void attemptEnded(OutboundCall call, Node server, Reply reply, long now);

    /** Takes note of the end of a call with all its attempts. */
    void callEnded(OutboundCall call);

    /** Returns the admission levels that the node passes on with its own answers, by service. */
    Map<String, Integer> levels(long now);

    /** Ends the account of an inbound call's retries and returns how many of its share are unused. */
    int closeAllowance(InboundCall inbound);

    /** A server, or a reply that refuses the call. */
    record Route(Optional<Node> server, Optional<Reply> refusal) {
        static Route to(Node server) {
            return new Route(Optional.of(server), Optional.empty());
        }

        static Route refuse(Reply refusal) {
            return new Route(Optional.empty(), Optional.of(refusal));
        }
    }
}
