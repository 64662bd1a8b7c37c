package org.plantainshunt.protocol;

/**
 * Receives what peers say of themselves and of their documents.
 *
 * <p>Called on event loops, by several threads at once, and must not block.
 */
public interface PeerHandler {
    /** A connection of either direction has passed its handshake. */
    void greeted(Greeting greeting);

    /** A node says that this incarnation of it is leaving. */
    void draining(String vm, long incarnation);

    /** The last open connection with a VM, of either direction, has ended. Never delivered ahead of its greeting. */
    void disconnected(String vm);

    /** A peer tells which document it has. */
    void announced(InnerConnection from, Announcement announcement);

    /** A peer asks for a document; {@link InnerConnection#sendDocument} answers it. */
    void documentRequested(InnerConnection from, String documentKind);

    /** A whole document has arrived. Its digest and content are not checked yet. */
    void documentReceived(InnerConnection from, DocumentMessage document);
}
