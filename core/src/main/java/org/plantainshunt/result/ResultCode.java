package org.plantainshunt.result;

import java.util.Optional;

/**
 * The outcome of a request, as a number that callers, logs, spans and metrics share.
 *
 * <p>A number never changes its meaning once it is released. A code that permits another attempt elsewhere whatever the
 * kind of request is always {@link RunState#NOT_RUN}. Immutable and safe for use by any thread.
 */
public enum ResultCode {
    /** The backend server answered and the answer is whole. */
    ANSWERED(1000, RunState.RUN, 200, false, "The backend server answered and the answer is whole."),
    /** This ticket ran before; this is its first answer. */
    ANSWERED_AGAIN(1001, RunState.RUN, 200, false, "This ticket ran before; this is its first answer."),
    /** The backend server is overloaded and this class of request is being shed. */
    OVERLOADED(
            1100,
            RunState.NOT_RUN,
            503,
            true,
            "The backend server is overloaded and this class of request is being shed."),
    /** A service deeper in the call chain is overloaded and sheds this class of request. */
    OVERLOADED_DOWNSTREAM(
            1101,
            RunState.NOT_RUN,
            503,
            false,
            "A service deeper in the call chain is overloaded and sheds this class of request."),
    /** The deadline passed, or could not be met, before the request was handed over. */
    DEADLINE_TOO_SHORT(
            1102,
            RunState.NOT_RUN,
            504,
            false,
            "The deadline passed, or could not be met, before the request was handed over."),
    /** The backend server is leaving and takes no new work. */
    DRAINING(1103, RunState.NOT_RUN, 503, true, "The backend server is leaving and takes no new work."),
    /** No backend server of the service can be reached. */
    NO_BACKEND_SERVER(1104, RunState.NOT_RUN, 503, false, "No backend server of the service can be reached."),
    /** This kind of request runs at most once; repeat it with the ticket of this answer. */
    TICKET_REQUIRED(
            1105,
            RunState.NOT_RUN,
            428,
            false,
            "This kind of request runs at most once; repeat it with the ticket of this answer."),
    /** The retries allowed for the whole request are spent. */
    RETRY_BOUND_REACHED(1106, RunState.NOT_RUN, 503, false, "The retries allowed for the whole request are spent."),
    /** The node cannot keep a further ticket. */
    TICKET_TABLE_FULL(1107, RunState.NOT_RUN, 503, true, "The node cannot keep a further ticket."),
    /** The node is busy: one of its rings is full. */
    NODE_BUSY(1108, RunState.NOT_RUN, 503, true, "The node is busy: one of its rings is full."),
    /** The caller went away before the request was handed over. */
    CANCELLED_BEFORE_RUN(
            1109, RunState.NOT_RUN, 499, false, "The caller went away before the request was handed over."),
    /** The link between the regions has no room for this class of request. */
    LINK_BUDGET_SPENT(
            1110, RunState.NOT_RUN, 503, false, "The link between the regions has no room for this class of request."),
    /** This ticket was refused before and will never run; take a new one. */
    TICKET_VOID(
            1111, RunState.NOT_RUN, 409, false, "This ticket was refused before and will never run; take a new one."),
    /** No connection could be made, so nothing was sent. */
    CONNECT_FAILED(1112, RunState.NOT_RUN, 503, true, "No connection could be made, so nothing was sent."),
    /** The node has no configuration or no VM list yet. */
    NOT_READY(1113, RunState.NOT_RUN, 503, true, "The node has no configuration or no VM list yet."),
    /** The connection broke after the request may have been delivered. */
    OUTCOME_UNKNOWN(
            1200, RunState.UNKNOWN, 502, false, "The connection broke after the request may have been delivered."),
    /** The process that issued the ticket is gone or the ticket has expired; whether it ran cannot be known. */
    TICKET_EXPIRED_OR_FOREIGN(
            1201,
            RunState.UNKNOWN,
            409,
            false,
            "The process that issued the ticket is gone or the ticket has expired; whether it ran cannot be known."),
    /** The request was handed over, but no whole answer arrived in time. */
    DEADLINE_PASSED_AFTER_HANDOVER(
            1202, RunState.UNKNOWN, 504, false, "The request was handed over, but no whole answer arrived in time."),
    /** The answer ended before it was complete. */
    ANSWER_CUT(1203, RunState.UNKNOWN, 502, false, "The answer ended before it was complete."),
    /** The request was cancelled after it was handed over. */
    CANCELLED_RUNNING(1204, RunState.UNKNOWN, 499, false, "The request was cancelled after it was handed over."),
    /** Long work was cancelled while short work was waiting. */
    RAN_TOO_LONG(1205, RunState.UNKNOWN, 503, false, "Long work was cancelled while short work was waiting."),
    /** The backend server answered, but the answer exceeds the size limit. */
    ANSWER_TOO_LARGE(
            1206, RunState.RUN, 502, false, "The backend server answered, but the answer exceeds the size limit."),
    /** The request ran and was answered before, but its answer is no longer kept. */
    ANSWER_NOT_KEPT(
            1207,
            RunState.RUN,
            410,
            false,
            "The request ran and was answered before, but its answer is no longer kept."),
    /** The request is malformed. */
    MALFORMED_REQUEST(1300, RunState.NOT_RUN, 400, false, "The request is malformed."),
    /** The configuration has no such service. */
    UNKNOWN_SERVICE(1301, RunState.NOT_RUN, 404, false, "The configuration has no such service."),
    /** The configuration has no such kind of request for the service. */
    UNKNOWN_KIND(1302, RunState.NOT_RUN, 404, false, "The configuration has no such kind of request for the service."),
    /** The body exceeds the size limit. */
    BODY_TOO_LARGE(1303, RunState.NOT_RUN, 413, false, "The body exceeds the size limit."),
    /** The headers exceed the size limit. */
    HEADER_TOO_LARGE(1304, RunState.NOT_RUN, 431, false, "The headers exceed the size limit."),
    /** The nodes speak different versions of the inner protocol. */
    PROTOCOL_VERSION_MISMATCH(
            1400, RunState.NOT_RUN, 503, true, "The nodes speak different versions of the inner protocol."),
    /** A node did not prove that it knows the shared secret. */
    PROTOCOL_AUTHENTICATION_FAILED(
            1401, RunState.NOT_RUN, 503, true, "A node did not prove that it knows the shared secret."),
    /** A frame of the inner protocol is invalid. */
    PROTOCOL_FRAME_INVALID(1402, RunState.UNKNOWN, 502, false, "A frame of the inner protocol is invalid.");

    private final int number;
    private final RunState runState;
    private final int httpStatus;
    private final boolean retryElsewhere;
    private final String explanation;

    ResultCode(int number, RunState runState, int httpStatus, boolean retryElsewhere, String explanation) {
        this.number = number;
        this.runState = runState;
        this.httpStatus = httpStatus;
        this.retryElsewhere = retryElsewhere;
        this.explanation = explanation;
    }

    /** Returns the code with this number, if there is one. */
    public static Optional<ResultCode> ofNumber(int number) {
        for (ResultCode code : values()) {
            if (code.number == number) {
                return Optional.of(code);
            }
        }
        return Optional.empty();
    }

    /** Returns the number, 1000 to 1999. */
    public int number() {
        return number;
    }

    /** Returns whether the request ran. */
    public RunState runState() {
        return runState;
    }

    /** Returns the HTTP status of a refusal; an answer of a backend server keeps its own status. */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns whether an entry node may try the request at another backend server, whatever its kind. After {@link
     * #OUTCOME_UNKNOWN} and {@link #ANSWER_CUT}, entry nodes also retry requests of repeatable kinds.
     */
    public boolean retryElsewhere() {
        return retryElsewhere;
    }

    /** Returns a one-sentence explanation for operators and callers. */
    public String explanation() {
        return explanation;
    }
}
