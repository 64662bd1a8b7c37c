package org.plantainshunt.protocol;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.netty.channel.Channel;

/**
 * The authenticated connections of an endpoint.
 *
 * <p>The handler is called under the lock, so that the greeting and the end of connections with a VM are told in the
 * order in which they happened, whatever event loops they run on. Safe for use by any thread.
 */
final class Peers {
    private final PeerHandler handler;
    private final Set<Connection> connections = new HashSet<>();
    private final Map<String, Integer> connectionsByVm = new HashMap<>();
    private boolean draining;

    Peers(PeerHandler handler) {
        this.handler = handler;
    }

    synchronized void opened(Connection connection, Greeting greeting) {
        connections.add(connection);
        connectionsByVm.merge(greeting.vm(), 1, Integer::sum);
        if (draining) {
            connection.sayDraining();
        }
        handler.greeted(greeting);
    }

    synchronized void closed(Connection connection) {
        if (!connections.remove(connection)) {
            return;
        }
        String vm = connection.peerVm();
        Integer left = connectionsByVm.computeIfPresent(vm, (name, count) -> count > 1 ? count - 1 : null);
        if (left == null) {
            handler.disconnected(vm);
        }
    }

    /** Tells all peers, and those of connections that open later, that this node is leaving. */
    synchronized void sayDraining() {
        draining = true;
        connections.forEach(Connection::sayDraining);
    }

    /** Closes all connections after everything given to them so far has been sent. */
    synchronized void closeWhenSent() {
        connections.forEach(Connection::closeWhenSent);
    }

    /** Looks for silent peers; one task for all connections, because a timer for each wakes the process too often. */
    synchronized void checkSilence() {
        connections.forEach(Connection::checkSilence);
    }

    /** Returns whether a channel has passed its handshake and is open. */
    synchronized boolean areOn(Channel channel) {
        return connections.stream().anyMatch(connection -> connection.isOn(channel));
    }
}
