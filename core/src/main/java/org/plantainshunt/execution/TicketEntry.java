package org.plantainshunt.execution;

import org.plantainshunt.result.Refusal;

/** The state of one ticket. Confined to the thread of its table. */
final class TicketEntry {
    /** The states, with transitions to later ones only; end states are final, but UNKNOWN may become ANSWERED. */
    enum State {
        ISSUED,
        RUNNING,
        UNKNOWN,
        ANSWERED,
        VOID
    }

    final String nonce;
    final String service;
    final String kind;
    final long issuedAt;
    State state = State.ISSUED;
    long endedAt;
    /** The complete answer; null unless the state is ANSWERED, and null if it was too large to store or was evicted. */
    Outcome outcome;
    /** Why the outcome is unknown; null unless the state is UNKNOWN. */
    Refusal refusal;

    TicketEntry(String nonce, String service, String kind, long issuedAt) {
        this.nonce = nonce;
        this.service = service;
        this.kind = kind;
        this.issuedAt = issuedAt;
    }

    boolean isFor(String otherService, String otherKind) {
        return service.equals(otherService) && kind.equals(otherKind);
    }

    boolean ended() {
        return state.compareTo(State.RUNNING) > 0;
    }
}
