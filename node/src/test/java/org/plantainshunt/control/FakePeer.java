package org.plantainshunt.control;

import java.util.ArrayList;
import java.util.List;

import org.plantainshunt.protocol.Announcement;
import org.plantainshunt.protocol.AnswerListener;
import org.plantainshunt.protocol.CallMessage;
import org.plantainshunt.protocol.CancelHandle;
import org.plantainshunt.protocol.DocumentMessage;
import org.plantainshunt.protocol.InnerConnection;
import org.plantainshunt.protocol.TicketListener;

/** A connection to another node that records the messages sent over it. */
record FakePeer(String peerVm, List<Announcement> announced, List<String> requested, List<DocumentMessage> sent)
        implements InnerConnection {
    FakePeer(String peerVm) {
        this(peerVm, new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    }

    @Override
    public void announce(Announcement announcement) {
        announced.add(announcement);
    }

    @Override
    public void requestDocument(String documentKind) {
        requested.add(documentKind);
    }

    @Override
    public void sendDocument(DocumentMessage document) {
        sent.add(document);
    }

    @Override
    public long peerIncarnation() {
        return 1;
    }

    @Override
    public boolean isOpen() {
        return true;
    }

    @Override
    public CancelHandle call(CallMessage call, AnswerListener listener) {
        throw new UnsupportedOperationException("FleetControl makes no calls");
    }

    @Override
    public void requestTicket(String service, String kind, TicketListener listener) {
        throw new UnsupportedOperationException("FleetControl requests no tickets");
    }

    @Override
    public void announceDraining() {}

    @Override
    public void close() {}
}
