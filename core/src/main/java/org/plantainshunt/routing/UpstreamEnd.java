package org.plantainshunt.routing;

/** How a call to a backend server ended. */
public enum UpstreamEnd {
    /** A complete answer arrived. */
    ANSWERED,
    /** The serving node refused the call before it ran. */
    REFUSED,
    /**
     * The call failed: no connection, a broken connection, an error instead of an answer, or its deadline passed. Or it
     * was answered with a server error by a backend server that has more errors than its peers.
     */
    FAILED,
    /** The caller cancelled the call or disconnected, or the call only obtained a ticket. */
    CANCELLED
}
