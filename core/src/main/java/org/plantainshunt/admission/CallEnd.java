package org.plantainshunt.admission;

/**
 * How a call that held a slot ended.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum CallEnd {
    /** The backend server sent a complete answer. */
    ANSWERED,
    /**
     * The backend server refused for overload: it answered 429, or 503 with {@code Plantainshunt-Shed}, or stated while
     * it may be full that it did not run the request.
     */
    SHED_BY_BACKEND_SERVER,
    /** No complete answer arrived, for another reason. */
    FAILED,
    /** The node cancelled the call: deadline passed, caller disconnected, or long work cancelled. */
    CANCELLED
}
