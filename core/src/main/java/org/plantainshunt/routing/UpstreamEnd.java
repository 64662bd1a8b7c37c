package org.plantainshunt.routing;

/** How a call to a backend server ended. */
public enum UpstreamEnd {
    /** A complete answer arrived. */
    ANSWERED,
    /** The serving node refused the call before it ran. */
    REFUSED,
    /** The call failed: no connection, a broken connection, an error instead of an answer, or its deadline passed. */
    FAILED,
    /** The caller cancelled the call or disconnected. */
    CANCELLED
}
