package org.plantainshunt.result;

/**
 * Whether a request reached a backend server.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum RunState {
    /** No byte of the request reached a backend server, and none will. */
    NOT_RUN("not-run"),
    /** The backend server received the request and its outcome is known. */
    RUN("run"),
    /** The request may have reached a backend server; this cannot be determined. */
    UNKNOWN("unknown");

    private final String label;

    RunState(String label) {
        this.label = label;
    }

    /** Returns the text used in headers, logs and spans. */
    public String label() {
        return label;
    }
}
