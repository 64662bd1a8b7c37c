package org.plantainshunt.call;

/** Receives the reply to a call. Called exactly once, on the decision thread; must not block. */
@FunctionalInterface
public interface ReplyListener {
    /** Called with the reply. */
    void replied(CallReply reply);
}
