package org.plantainshunt.protocol;

import org.plantainshunt.result.ResultCode;

/**
 * An authenticated connection with another node. Safe for use by any thread; no method blocks.
 *
 * <p>Listeners are called on the event loop of the connection, or on the calling thread once the endpoint is closed,
 * and must not block. A lost connection ends each open call with {@link ResultCode#CONNECT_FAILED} if nothing of it was
 * written to the channel, {@link ResultCode#ANSWER_CUT} if its answer had begun, and {@link ResultCode#OUTCOME_UNKNOWN}
 * otherwise; open ticket requests end with {@link ResultCode#CONNECT_FAILED}.
 */
public interface InnerConnection {
    /** Returns the authenticated name of the peer's VM. */
    String peerVm();

    /** Returns the incarnation that the peer sent in the handshake. */
    long peerIncarnation();

    /** Returns whether calls can be sent; stays false once the connection is closed. */
    boolean isOpen();

    /**
     * Sends a call.
     *
     * <p>Calls that cannot be sent are refused: {@link ResultCode#BODY_TOO_LARGE}, {@link ResultCode#HEADER_TOO_LARGE},
     * {@link ResultCode#NODE_BUSY} if too many calls of this connection are open, and
     * {@link ResultCode#DEADLINE_TOO_SHORT} if the deadline passes while the call waits to be sent.
     */
    CancelHandle call(CallMessage call, AnswerListener listener);

    /** Asks the peer for a ticket, with which a call of the given kind runs at most once. */
    void requestTicket(String service, String kind, TicketListener listener);

    /** Announces to the peer the version of a document that this node has. */
    void announce(Announcement announcement);

    /** Asks the peer for its document of a kind. */
    void requestDocument(String documentKind);

    /** Sends a document. It is dropped and logged if several earlier ones are still waiting to be sent. */
    void sendDocument(DocumentMessage document);

    /** Tells the peer that this node is draining. */
    void announceDraining();

    /** Closes the connection; open calls end as if it was lost. */
    void close();
}
