package org.plantainshunt.standins;

/** Names of the HTTP headers that callers, nodes and backend servers exchange. */
public final class HeaderNames {
    /** Identity of one run of a kind that runs at most once; issued by a node. */
    public static final String TICKET = "Plantainshunt-Ticket";
    /** Time left for the answer, in milliseconds. */
    public static final String DEADLINE = "Plantainshunt-Deadline";
    /** Number of the caller's attempt; 1 for the first. */
    public static final String ATTEMPT = "Plantainshunt-Attempt";
    /** Identity of the request as chosen by the caller or the first node. */
    public static final String REQUEST_ID = "Plantainshunt-Request-Id";
    /** Identity under which a node may cancel one call of its backend server. */
    public static final String CALL = "Plantainshunt-Call";
    /** Says that a backend server shed the request to protect itself. */
    public static final String SHED = "Plantainshunt-Shed";
    /** Opaque context that a backend server passes on with its own calls. */
    public static final String CONTEXT = "Plantainshunt-Context";
    /** Result code of a node's answer. */
    public static final String RESULT = "Plantainshunt-Result";
    /** Run state of a node's answer: not-run, run or unknown. */
    public static final String RUN = "Plantainshunt-Run";
    /** Seconds after which a refused request may be repeated. */
    public static final String RETRY_AFTER = "Retry-After";
    /** Trace context of the W3C recommendation. */
    public static final String TRACE_PARENT = "traceparent";
    /** Identity of a piece of work, which stays the same over all attempts; recorded by backend server stand-ins. */
    public static final String WORK_ID = "X-Work-Id";
    /** Identity of one attempt at a piece of work; recorded by backend server stand-ins. */
    public static final String ATTEMPT_ID = "X-Attempt-Id";
    /** The outbound call that made a backend server stand-in fail, with the result code of the call. */
    public static final String FAILED_CALL = "X-Failed-Call";

    private HeaderNames() {}
}
