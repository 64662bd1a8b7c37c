package org.plantainshunt.call;

/** Receives the one reply to a call; called on the decision duty's thread and must not block. */
@FunctionalInterface
public interface ReplyListener {
    /** Takes the reply. */
    void replied(CallReply reply);
}
