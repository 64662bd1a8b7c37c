package org.plantainshunt.standins;

/** Names of the HTTP headers exchanged by callers, nodes and backend servers. */
public final class HeaderNames {
    /** Ticket issued by a node, which identifies one run of an at-most-once request. */
    public static final String TICKET = "Plantainshunt-Ticket";
    /** Time left for the response, in milliseconds. */
    public static final String DEADLINE = "Plantainshunt-Deadline";
    /** Number of the caller's attempt, from 1. */
    public static final String ATTEMPT = "Plantainshunt-Attempt";
    /** Request id, chosen by the caller or the first node. */
    public static final String REQUEST_ID = "Plantainshunt-Request-Id";
    /** Call id, by which a node can cancel one request at its backend server. */
    public static final String CALL = "Plantainshunt-Call";
    /** Marks a response of a backend server that shed the request because of overload. */
    public static final String SHED = "Plantainshunt-Shed";
    /** Opaque context that a backend server propagates to its outbound calls. */
    public static final String CONTEXT = "Plantainshunt-Context";
    /** Result code of a node's response. */
    public static final String RESULT = "Plantainshunt-Result";
    /** Whether the request ran, in a node's response: not-run, run or unknown. */
    public static final String RUN = "Plantainshunt-Run";
    /** Seconds after which a rejected request may be retried. */
    public static final String RETRY_AFTER = "Retry-After";
    /** W3C trace context. */
    public static final String TRACE_PARENT = "traceparent";
    /** Work id: identifies a request across all its attempts; recorded by backend server stand-ins. */
    public static final String WORK_ID = "X-Work-Id";
    /** Identifies one attempt of a request; recorded by backend server stand-ins. */
    public static final String ATTEMPT_ID = "X-Attempt-Id";
    /** The outbound call that made a backend server stand-in fail, with the result code of that call. */
    public static final String FAILED_CALL = "X-Failed-Call";

    private HeaderNames() {}
}
