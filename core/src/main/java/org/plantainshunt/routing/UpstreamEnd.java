package org.plantainshunt.routing;

/** How a call to a backend server ended. */
public enum UpstreamEnd {
    /** A complete answer arrived. */
    ANSWERED,
    /** The serving node refused the call before it ran. */
    REFUSED,
    /**
     * The call failed: no connection, a broken connection, or an error instead of an answer, such as a deadline that
     * passed at the serving node. Or it was answered with a server error by a backend server that has more errors than
     * its peers.
     */
    FAILED,
    /**
     * The caller cancelled the call or disconnected, the deadline passed at this node without a reply, or the call only
     * obtained a ticket.
     */
    CANCELLED
}
