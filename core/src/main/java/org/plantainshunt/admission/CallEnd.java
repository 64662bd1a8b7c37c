package org.plantainshunt.admission;

/**
 * How a call that held a slot ended.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum CallEnd {
    /** The backend server gave a whole answer. */
    ANSWERED,
    /** The backend server refused for overload: 429, or 503 with {@code Retry-After}. */
    SHED_BY_BACKEND_SERVER,
    /** No whole answer came, for another reason. */
    FAILED,
    /** The node gave up on it: deadline, caller gone, or long work cancelled. */
    CANCELLED
}
