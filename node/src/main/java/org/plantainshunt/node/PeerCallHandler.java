package org.plantainshunt.node;

import org.plantainshunt.protocol.AnswerListener;
import org.plantainshunt.protocol.CallHandler;
import org.plantainshunt.protocol.CallMessage;
import org.plantainshunt.protocol.CancelHandle;
import org.plantainshunt.protocol.TicketListener;

/**
 * Submits calls from other nodes to {@link org.plantainshunt.call.CallCoordinator}, and reports the configuration
 * numbers of these calls to the fleet control. Thread-safe.
 */
final class PeerCallHandler implements CallHandler {
    private final Node node;

    PeerCallHandler(Node node) {
        this.node = node;
    }

    @Override
    public CancelHandle call(String fromVm, CallMessage message, AnswerListener reply) {
        node.control().configurationNumberSeen(fromVm, message.documentNumber());
        return node.coordinator().call(fromVm, message, reply);
    }

    @Override
    public void ticket(String fromVm, String service, String kind, TicketListener reply) {
        node.coordinator().ticket(fromVm, service, kind, reply);
    }
}
