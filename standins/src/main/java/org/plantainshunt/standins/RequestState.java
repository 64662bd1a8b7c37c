package org.plantainshunt.standins;

import java.util.Locale;

/** How far a request has come at a backend server stand-in. */
public enum RequestState {
    /** Received and waiting for a slot. */
    RECEIVED(0),
    /** Runs in a slot. */
    RUNNING(0),
    /** Ran and was answered. */
    ANSWERED(200),
    /** Refused because the queue of the backend server was full; never ran. */
    SHED(503),
    /** Cancelled by DELETE, waiting or running. */
    CANCELLED(499),
    /** Given up at its deadline, waiting or running. */
    DEADLINE_PASSED(504),
    /** Ran, and one of its own calls failed. */
    CALL_FAILED(502);

    private final int status;

    RequestState(int status) {
        this.status = status;
    }

    /** Returns the HTTP status of the answer in this state; 0 while there is no answer. */
    int status() {
        return status;
    }

    /** Returns the text used in records. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
