package org.plantainshunt.protocol;

/**
 * Receives connection events, draining notices and documents from peers.
 *
 * <p>Called on event loops, by several threads at once, and must not block.
 */
public interface PeerHandler {
    /** Called when a connection of either direction has completed its handshake. */
    void handshakeCompleted(HandshakeInfo handshakeInfo);

    /** Called when a node announces that the given incarnation of it is draining. */
    void draining(String vm, long incarnation);

    /**
     * Called when the last open connection with a VM, of either direction, has closed; never before the call of
     * {@link #handshakeCompleted} for that connection.
     */
    void disconnected(String vm);

    /** Called when a peer announces the version of a document that it has. */
    void documentAnnounced(InnerConnection from, Announcement announcement);

    /** Called when a peer requests a document; reply with {@link InnerConnection#sendDocument}. */
    void documentRequested(InnerConnection from, String documentKind);

    /** Called when a complete document has arrived. Its digest and content are not checked yet. */
    void documentReceived(InnerConnection from, DocumentMessage document);
}
