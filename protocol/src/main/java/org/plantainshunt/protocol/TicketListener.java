package org.plantainshunt.protocol;

import org.plantainshunt.result.Refusal;

/**
 * Receives the result of one ticket request: exactly one of the two methods is called, once.
 *
 * <p>A listener given to {@link InnerConnection#requestTicket} is called on an event loop, or on the calling thread
 * once the endpoint is closed, and must not block. A listener given to {@link CallHandler#ticket} may be called from
 * any thread; calls after the first are ignored.
 */
public interface TicketListener {
    /** Called with the ticket. */
    void granted(String ticket);

    /** Called with the reason if no ticket is granted. */
    void refused(Refusal refusal);
}
