package org.plantainshunt.call;

import java.util.HashMap;
import java.util.Map;

import org.plantainshunt.protocol.Announcement;
import org.plantainshunt.protocol.AnswerListener;
import org.plantainshunt.protocol.AnswerMessage;
import org.plantainshunt.protocol.CallMessage;
import org.plantainshunt.protocol.CancelHandle;
import org.plantainshunt.protocol.DocumentMessage;
import org.plantainshunt.protocol.InnerConnection;
import org.plantainshunt.protocol.LoadReport;
import org.plantainshunt.protocol.RefusalMessage;
import org.plantainshunt.protocol.TicketListener;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;

/** A connection that delays messages and, when it is cut, loses some messages in transit and delivers others. */
final class FakeConnection implements InnerConnection {
    private static final LoadReport NO_LOAD = new LoadReport(0, 0, Map.of());

    private final FakeVm from;
    private final FakeVm to;
    private final long fromIncarnation;
    private final long toIncarnation;
    private final Map<Integer, Runnable> onCut = new HashMap<>();
    private boolean open = true;
    private int nextNumber;

    FakeConnection(FakeVm from, FakeVm to) {
        this.from = from;
        this.to = to;
        this.fromIncarnation = from.incarnation;
        this.toIncarnation = to.incarnation;
    }

    @Override
    public String peerVm() {
        return to.name;
    }

    @Override
    public long peerIncarnation() {
        return toIncarnation;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public CancelHandle call(CallMessage message, AnswerListener listener) {
        int number = nextNumber++;
        if (!open) {
            listener.refused(connectionLost(ResultCode.CONNECT_FAILED, message));
            return () -> {};
        }
        onCut.put(number, () -> listener.refused(connectionLost(ResultCode.OUTCOME_UNKNOWN, message)));
        CancelHandle[] remote = {() -> {}};
        sendToPeer(() -> remote[0] =
                to.serving.call(from.name, message, from.fleet.now(), new ReturningListener(number, listener)));
        return () -> sendToPeer(() -> remote[0].cancel());
    }

    @Override
    public void requestTicket(String service, String kind, TicketListener listener) {
        int number = nextNumber++;
        Refusal refusal = Refusal.of(ResultCode.CONNECT_FAILED, "the connection was cut");
        if (!open) {
            listener.refused(refusal);
            return;
        }
        onCut.put(number, () -> listener.refused(refusal));
        sendToPeer(() -> to.serving.ticket(kind, new TicketListener() {
            @Override
            public void granted(String ticket) {
                sendBack(number, () -> listener.granted(ticket));
            }

            @Override
            public void refused(Refusal reason) {
                sendBack(number, () -> listener.refused(reason));
            }
        }));
    }

    @Override
    public void announce(Announcement announcement) {}

    @Override
    public void requestDocument(String documentKind) {}

    @Override
    public void sendDocument(DocumentMessage document) {}

    @Override
    public void announceDraining() {}

    @Override
    public void close() {
        cut();
    }

    void cut() {
        if (!open) {
            return;
        }
        open = false;
        from.fleet.log("cut " + from.name + " - " + to.name);
        for (Runnable listener : onCut.values()) {
            from.fleet.schedule(from.fleet.randomDelay(3), () -> from.run(fromIncarnation, listener));
        }
        onCut.clear();
    }

    /** A message in transit when the connection is cut arrives with a probability of one half. */
    private void sendToPeer(Runnable task) {
        from.fleet.schedule(from.fleet.randomDelay(3), () -> {
            if (open || from.fleet.random.nextBoolean()) {
                to.run(toIncarnation, task);
            }
        });
    }

    private void sendBack(int number, Runnable task) {
        from.fleet.schedule(from.fleet.randomDelay(3), () -> {
            if (open && onCut.remove(number) != null) {
                from.run(fromIncarnation, task);
            }
        });
    }

    private static RefusalMessage connectionLost(ResultCode code, CallMessage message) {
        return new RefusalMessage(
                Refusal.of(code, "the connection was cut"), message.share().allowance(), NO_LOAD, false);
    }

    /** Returns the peer's answer over the connection. */
    private final class ReturningListener implements AnswerListener {
        private final int number;
        private final AnswerListener listener;

        ReturningListener(int number, AnswerListener listener) {
            this.number = number;
            this.listener = listener;
        }

        @Override
        public void answered(AnswerMessage message) {
            sendBack(number, () -> listener.answered(message));
        }

        @Override
        public void refused(RefusalMessage message) {
            sendBack(number, () -> listener.refused(message));
        }
    }
}
