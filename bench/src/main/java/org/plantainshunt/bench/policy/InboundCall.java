package org.plantainshunt.bench.policy;

import java.util.Optional;

import org.plantainshunt.retry.Share;

/**
 * One attempt of a call as its serving node holds it.
 *
 * <p>Confined to one thread.
 */
final class InboundCall {
    /** How far the serving node is with a call. */
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
    final Node target;
    final Share share;
    private long deadline;
    private State state = State.WAITING;
    private boolean holdsSlot;
    private int startedChildren;
    private Optional<OutboundCall> child = Optional.empty();

    /**
     * Creates an attempt.
     *
     * @param entryNode the node that sends it
     * @param target the node that serves it
     * @param share the retries that the calls made for this one may use
     */
    InboundCall(OutboundCall outboundCall, Node entryNode, Node target, Share share) {
        this.outboundCall = outboundCall;
        this.entryNode = entryNode;
        this.target = target;
        this.share = share;
    }

    State state() {
        return state;
    }

    void setState(State next) {
        state = next;
    }

    /** Returns the virtual time by which the answer is wanted, as the serving node reckons it. */
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

    /** Returns the next call to make for this one, if there is one. */
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
