package org.plantainshunt.standins;

import java.util.Locale;

/** The state of a request at a backend server stand-in. */
public enum RequestState {
    /** Received and waiting for a slot. */
    RECEIVED(0),
    /** Running in a slot. */
    RUNNING(0),
    /** Ran successfully. */
    ANSWERED(200),
    /** Rejected without running because the queue was full. */
    SHED(503),
    /** Cancelled by a DELETE request while waiting or running. */
    CANCELLED(499),
    /** Cancelled at its deadline while waiting or running. */
    DEADLINE_PASSED(504),
    /** Ran, but one of its outbound calls failed. */
    CALL_FAILED(502);

    private final int status;

    RequestState(int status) {
        this.status = status;
    }

    /** Returns the HTTP status of the response in this state; 0 if there is no response yet. */
    int status() {
        return status;
    }

    /** Returns the text used in records. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
