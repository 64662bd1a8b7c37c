package org.plantainshunt.protocol;

/**
 * Handles the calls and ticket requests that a node receives from its peers.
 *
 * <p>Called on event loops, by several threads at once, and must not block.
 */
public interface CallHandler {
    /**
     * Handles a call whose whole body has arrived and whose checksum matched.
     *
     * @param fromVm authenticated name of the calling VM
     * @param call the call; its deadline is reduced by the excess transit delay of its start frame and the time the
     *     body took to arrive
     * @param reply receives the answer or refusal; may be called from any thread
     * @return handle used to cancel the call if the calling side cancels it or the connection is lost
     */
    CancelHandle call(String fromVm, CallMessage call, AnswerListener reply);

    /** Handles a request for a ticket of an at-most-once call; the reply may be given from any thread. */
    void ticket(String fromVm, String service, String kind, TicketListener reply);
}
