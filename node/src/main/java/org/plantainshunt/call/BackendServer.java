package org.plantainshunt.call;

import java.util.List;
import java.util.Optional;

import org.plantainshunt.protocol.Header;

/** The backend server on the node's own VM. Implementations are safe for use by any thread and never block. */
public interface BackendServer {
    /**
     * Hands a request over.
     *
     * <p>The listener is called exactly once. A request whose deadline has passed before it is written fails
     * as {@link FailureStage#BEFORE_SENT}.
     */
    void send(Handover request, Listener listener);

    /** Asks the backend server to abandon a request; the outcome that the listener receives shows whether it did. */
    void cancel(String callId);

    /**
     * A request as it is handed over to the backend server.
     *
     * @param callId the id under which it can be cancelled
     * @param kind the kind of request
     * @param path the rest of the path with its query
     * @param method the HTTP method
     * @param headers the headers to pass on
     * @param body the complete body
     * @param requestId the id of the originating request, shared by all calls made for it
     * @param context the token that the backend server sends with its own calls
     * @param traceParent the W3C trace parent, or an empty string
     * @param deadline the deadline, in nanoseconds of the node's monotonic clock
     * @param instance the id of the backend server that the platform lists for this VM, if it lists ids
     */
    record Handover(
            String callId,
            String kind,
            String path,
            String method,
            List<Header> headers,
            byte[] body,
            String requestId,
            String context,
            String traceParent,
            long deadline,
            Optional<String> instance) {}

    /** How far a request got before it failed. */
    enum FailureStage {
        /** No byte was written. */
        BEFORE_SENT,
        /** The backend server states that it did not run the request. */
        NOT_RUN,
        /** Another backend server than the expected one is at the address and did not run the request. */
        OTHER_INSTANCE,
        /** The request may have been delivered, at least in part. */
        AFTER_SENT,
        /** The answer began but ended prematurely. */
        ANSWER_CUT,
        /** The answer is over the size limit. */
        ANSWER_TOO_LARGE,
        /** No complete answer arrived before the deadline. */
        TIMED_OUT
    }

    /** Receives the outcome of a request. */
    interface Listener {
        /** Called with a complete answer. */
        void answered(int status, List<Header> headers, byte[] body);

        /** Called when the request failed. */
        void failed(FailureStage stage, String detail);
    }
}
