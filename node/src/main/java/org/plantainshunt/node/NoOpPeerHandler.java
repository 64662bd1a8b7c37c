package org.plantainshunt.node;

import org.plantainshunt.protocol.Announcement;
import org.plantainshunt.protocol.DocumentMessage;
import org.plantainshunt.protocol.HandshakeInfo;
import org.plantainshunt.protocol.InnerConnection;
import org.plantainshunt.protocol.PeerHandler;

/** Ignores all messages of peers; used by the warm-up. Stateless. */
final class NoOpPeerHandler implements PeerHandler {
    @Override
    public void handshakeCompleted(HandshakeInfo handshakeInfo) {}

    @Override
    public void draining(String vm, long incarnation) {}

    @Override
    public void disconnected(String vm) {}

    @Override
    public void documentAnnounced(InnerConnection from, Announcement announcement) {}

    @Override
    public void documentRequested(InnerConnection from, String documentKind) {}

    @Override
    public void documentReceived(InnerConnection from, DocumentMessage document) {}
}
