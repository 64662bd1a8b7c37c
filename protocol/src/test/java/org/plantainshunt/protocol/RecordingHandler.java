package org.plantainshunt.protocol;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.plantainshunt.protocol.wire.Frame;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.retry.RetryShare;

/** Records received calls and peer events; the test sends the replies. */
class RecordingHandler implements CallHandler, PeerHandler {
    static final int LARGEST_BODY = 1 << 20;
    static final String SECRET = "test secret";
    static final LoadReport LOAD = new LoadReport(3, 4, Map.of("recorder", 512));

    final BlockingQueue<ReceivedCall> calls = new LinkedBlockingQueue<>();
    final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    final BlockingQueue<DocumentMessage> documents = new LinkedBlockingQueue<>();
    final BlockingQueue<InnerConnection> announcers = new LinkedBlockingQueue<>();
    final BlockingQueue<TicketListener> tickets = new LinkedBlockingQueue<>();

    static InnerSettings settings(String vm, String secret) {
        return new InnerSettings(vm, vm.hashCode(), secret, LARGEST_BODY, 2, () -> false, () -> 42);
    }

    /** A call received by the handler. */
    record ReceivedCall(String fromVm, CallMessage message, AnswerListener reply) {
        void answer(byte[] body) {
            reply.answered(answerMessage(body));
        }
    }

    static AnswerMessage answerMessage(byte[] body) {
        return new AnswerMessage(ResultCode.ANSWERED, 201, List.of(new Header("Etag", "é")), body, 2, LOAD);
    }

    static CallMessage message(String path, byte[] body) {
        return message(path, body, 20_000);
    }

    /** Returns the start frame of a call with the given remaining time, in milliseconds. */
    static Frame callStart(long number, int bodyLength, long deadlineMilliseconds) {
        return FrameConverter.callStart(number, message("/" + number, new byte[bodyLength]), deadlineMilliseconds);
    }

    static CallMessage message(String path, byte[] body, long deadlineMilliseconds) {
        return new CallMessage(
                "recorder",
                "lookup-bell",
                path,
                "POST",
                List.of(new Header("Accept", "*/*")),
                body,
                "request-1",
                511,
                true,
                deadlineMilliseconds,
                new RetryShare(3, true),
                Optional.of("vm-1.2.3"),
                "00-01-02-01",
                42);
    }

    ReceivedCall nextCall() throws InterruptedException {
        return next(calls);
    }

    static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T element = queue.poll(5, TimeUnit.SECONDS);
        if (element == null) {
            throw new AssertionError("nothing arrived within 5 s");
        }
        return element;
    }

    /** Discards events until the expected one arrives. */
    void awaitEvent(String expected) throws InterruptedException {
        String event = next(events);
        while (!event.equals(expected)) {
            event = next(events);
        }
    }

    @Override
    public CancelHandle call(String fromVm, CallMessage call, AnswerListener reply) {
        calls.add(new ReceivedCall(fromVm, call, reply));
        return () -> events.add("cancelled " + call.path());
    }

    @Override
    public void ticket(String fromVm, String service, String kind, TicketListener reply) {
        events.add("ticket " + fromVm + " " + service + " " + kind);
        tickets.add(reply);
    }

    @Override
    public void handshakeCompleted(HandshakeInfo handshakeInfo) {
        events.add("handshake " + handshakeInfo.vm() + " " + handshakeInfo.documentNumber());
    }

    @Override
    public void draining(String vm, long incarnation) {
        events.add("draining " + vm + " " + (incarnation == vm.hashCode()));
    }

    @Override
    public void disconnected(String vm) {
        events.add("disconnected " + vm);
    }

    @Override
    public void documentAnnounced(InnerConnection from, Announcement announcement) {
        events.add("announced " + announcement);
        announcers.add(from);
    }

    @Override
    public void documentRequested(InnerConnection from, String documentKind) {
        events.add("requested " + documentKind);
    }

    @Override
    public void documentReceived(InnerConnection from, DocumentMessage document) {
        documents.add(document);
    }

    /** Records the result of one call or ticket request; {@link #await} fails if there was a second one. */
    static final class Outcome implements AnswerListener, TicketListener {
        private final CompletableFuture<Object> end = new CompletableFuture<>();
        private final AtomicBoolean repeated = new AtomicBoolean();

        @Override
        public void answered(AnswerMessage answer) {
            complete(answer);
        }

        @Override
        public void refused(RefusalMessage refusal) {
            complete(refusal);
        }

        @Override
        public void granted(String ticket) {
            complete(ticket);
        }

        @Override
        public void refused(Refusal refusal) {
            complete(refusal);
        }

        boolean isDone() {
            return end.isDone();
        }

        AnswerMessage answer() throws Exception {
            return (AnswerMessage) await();
        }

        RefusalMessage refusal() throws Exception {
            return (RefusalMessage) await();
        }

        ResultCode code() throws Exception {
            return refusal().refusal().code();
        }

        Object await() throws Exception {
            Object value = end.get(15, TimeUnit.SECONDS);
            if (repeated.get()) {
                throw new AssertionError("the listener was called twice");
            }
            return value;
        }

        private void complete(Object value) {
            if (!end.complete(value)) {
                repeated.set(true);
            }
        }
    }
}
