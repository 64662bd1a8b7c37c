package org.plantainshunt.result;

/**
 * Whether a backend server ran a request.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum RunState {
    /** No backend server ran the request, and none will. */
    NOT_RUN("not-run"),
    /** The backend server received the request and its outcome is known. */
    RUN("run"),
    /** A backend server may have run the request, at least in part; this cannot be determined. */
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
