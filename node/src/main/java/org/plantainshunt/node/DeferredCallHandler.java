package org.plantainshunt.node;

import java.util.Optional;

import org.plantainshunt.call.CallCoordinator;
import org.plantainshunt.protocol.AnswerListener;
import org.plantainshunt.protocol.CallHandler;
import org.plantainshunt.protocol.CallMessage;
import org.plantainshunt.protocol.CancelHandle;
import org.plantainshunt.protocol.TicketListener;

/** Delegates calls to a {@link CallCoordinator} instance that is created later. Thread-safe once the target is set. */
final class DeferredCallHandler implements CallHandler {
    volatile Optional<CallCoordinator> target = Optional.empty();

    @Override
    public CancelHandle call(String fromVm, CallMessage message, AnswerListener reply) {
        return target.orElseThrow().call(fromVm, message, reply);
    }

    @Override
    public void ticket(String fromVm, String service, String kind, TicketListener reply) {
        target.orElseThrow().ticket(fromVm, service, kind, reply);
    }
}
