package org.plantainshunt.bench.policy;

import java.util.Optional;

import org.plantainshunt.retry.RetryShare;

/**
 * The state of one attempt of a call at its serving node.
 *
 * <p>Confined to one thread.
 */
final class InboundCall {
    /** The progress of a call at its serving node. */
    enum State {
        /** On its way to the serving node, or waiting there. */
        WAITING,
        /** Handed over to the backend server. */
        RUNNING,
        /** Answered, refused or cancelled. */
        ENDED
    }

    final OutboundCall outboundCall;
    final Node entryNode;
    final Node servingNode;
    final RetryShare share;
    private long deadline;
    private State state = State.WAITING;
    private boolean holdsSlot;
    private int startedChildren;
    private Optional<OutboundCall> child = Optional.empty();

    /**
     * Creates an attempt.
     *
     * @param entryNode the node that sends it
     * @param servingNode the node that serves it
     * @param share the retries that the calls made for this one may use
     */
    InboundCall(OutboundCall outboundCall, Node entryNode, Node servingNode, RetryShare share) {
        this.outboundCall = outboundCall;
        this.entryNode = entryNode;
        this.servingNode = servingNode;
        this.share = share;
    }

    State state() {
        return state;
    }

    void setState(State next) {
        state = next;
    }

    /** Returns the virtual time by which the answer is due, as computed by the serving node on arrival. */
    long deadline() {
        return deadline;
    }

    void setDeadline(long time) {
        deadline = time;
    }

    boolean holdsSlot() {
        return holdsSlot;
    }

    void setHoldsSlot() {
        holdsSlot = true;
    }

    /** Returns the next downstream call to make for this one, if any, and advances to the one after. */
    Optional<KindProfile> nextChild() {
        return startedChildren < outboundCall.kindProfile.children().size()
                ? Optional.of(outboundCall.kindProfile.children().get(startedChildren++))
                : Optional.empty();
    }

    Optional<OutboundCall> child() {
        return child;
    }

    void setChild(OutboundCall next) {
        child = Optional.of(next);
    }
}
