package org.plantainshunt.execution;

import java.util.Optional;

import org.plantainshunt.result.Refusal;

/**
 * The decision on a request that presents a ticket.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class TicketUse {
    /** The possible decisions. */
    public enum Decision {
        /** This is the first use: run the request and report its end to the table. */
        START,
        /** The request is waiting or running already: wait for its end. */
        JOIN,
        /** The request was answered before: return the stored outcome. */
        REPLAY,
        /** The request must not run: return the refusal. */
        REFUSED
    }

    private static final TicketUse START = new TicketUse(Decision.START, null, null);
    private static final TicketUse JOIN = new TicketUse(Decision.JOIN, null, null);

    private final Decision decision;
    private final Outcome outcome;
    private final Refusal refusal;

    private TicketUse(Decision decision, Outcome outcome, Refusal refusal) {
        this.decision = decision;
        this.outcome = outcome;
        this.refusal = refusal;
    }

    static TicketUse start() {
        return START;
    }

    static TicketUse join() {
        return JOIN;
    }

    static TicketUse replay(Outcome outcome) {
        return new TicketUse(Decision.REPLAY, outcome, null);
    }

    static TicketUse refused(Refusal refusal) {
        return new TicketUse(Decision.REFUSED, null, refusal);
    }

    /** Returns the decision. */
    public Decision decision() {
        return decision;
    }

    /** Returns the stored outcome, present for {@link Decision#REPLAY} only. */
    public Optional<Outcome> outcome() {
        return Optional.ofNullable(outcome);
    }

    /** Returns the refusal, present for {@link Decision#REFUSED} only. */
    public Optional<Refusal> refusal() {
        return Optional.ofNullable(refusal);
    }

    @Override
    public String toString() {
        return refusal == null ? decision.toString() : decision + " " + refusal.code();
    }
}
