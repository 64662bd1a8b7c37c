package org.plantainshunt.protocol;

/**
 * Receives the calls of peers at the serving node.
 *
 * <p>Called on event loops, by several threads at once, and must not block.
 */
public interface CallHandler {
    /**
     * Takes a call whose whole body has arrived and been checked.
     *
     * @param fromVm authenticated name of the calling VM
     * @param call the call; its deadline is reduced by the time the body took to arrive
     * @param reply takes the end of the call, from any thread
     * @return the handle that is used if the calling side cancels or its connection is lost
     */
    CancelHandle call(String fromVm, CallMessage call, AnswerListener reply);

    /** Takes a request for a ticket; the reply may be given from any thread. */
    void ticket(String fromVm, String service, String kind, TicketListener reply);
}
