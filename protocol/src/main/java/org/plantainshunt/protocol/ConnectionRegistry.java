package org.plantainshunt.protocol;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.netty.channel.Channel;

/**
 * The authenticated connections of an endpoint.
 *
 * <p>The handler is called while the lock is held, so that it is told of the opening and closing of connections with a
 * VM in the order in which they happened, even if they run on different event loops. Safe for use by any thread.
 */
final class ConnectionRegistry {
    private final PeerHandler handler;
    private final Set<Connection> connections = new HashSet<>();
    /** The connections whose peer does not reply; they don't count as connections with their VM. */
    private final Set<Connection> silent = new HashSet<>();

    private final Map<String, Integer> connectionsByVm = new HashMap<>();
    private boolean draining;

    ConnectionRegistry(PeerHandler handler) {
        this.handler = handler;
    }

    synchronized void opened(Connection connection, HandshakeInfo handshakeInfo) {
        connections.add(connection);
        if (draining) {
            connection.announceDraining();
        }
        count(handshakeInfo);
    }

    synchronized void closed(Connection connection) {
        if (connections.remove(connection) && !silent.remove(connection)) {
            discount(connection.peerVm());
        }
    }

    /** Records that the peer of an open connection does not reply. */
    synchronized void fellSilent(Connection connection) {
        if (connections.contains(connection) && silent.add(connection)) {
            discount(connection.peerVm());
        }
    }

    /** Records that a silent peer has sent something. */
    synchronized void heardAgain(Connection connection, HandshakeInfo handshakeInfo) {
        if (silent.remove(connection)) {
            count(handshakeInfo);
        }
    }

    private void count(HandshakeInfo handshakeInfo) {
        connectionsByVm.merge(handshakeInfo.vm(), 1, Integer::sum);
        handler.handshakeCompleted(handshakeInfo);
    }

    private void discount(String vm) {
        Integer left = connectionsByVm.computeIfPresent(vm, (name, count) -> count > 1 ? count - 1 : null);
        if (left == null) {
            handler.disconnected(vm);
        }
    }

    /** Tells the peers of all current and future connections that this node is draining. */
    synchronized void announceDraining() {
        draining = true;
        connections.forEach(Connection::announceDraining);
    }

    /** Closes each connection once everything queued on it has been sent. */
    synchronized void closeWhenSent() {
        connections.forEach(Connection::closeWhenSent);
    }

    /**
     * Checks all connections for idle peers. One task serves all, because a timer per connection would wake the process
     * too often.
     */
    synchronized void checkIdle() {
        connections.forEach(Connection::checkIdle);
    }

    /** Returns whether a channel is open and authenticated. */
    synchronized boolean containsChannel(Channel channel) {
        return connections.stream().anyMatch(connection -> connection.usesChannel(channel));
    }
}
