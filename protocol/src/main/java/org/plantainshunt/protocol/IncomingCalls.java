package org.plantainshunt.protocol;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.plantainshunt.protocol.wire.AnswerEnd;
import org.plantainshunt.protocol.wire.CallEnd;
import org.plantainshunt.protocol.wire.CallStart;
import org.plantainshunt.protocol.wire.Cancel;
import org.plantainshunt.protocol.wire.Chunk;
import org.plantainshunt.protocol.wire.Frame;
import org.plantainshunt.protocol.wire.TicketGrant;
import org.plantainshunt.protocol.wire.TicketRequest;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The open calls and ticket requests of the peer on one connection.
 *
 * <p>A call is passed to the handler only after its whole body has arrived and its checksum matched. It stays in the
 * table until the last frame of its answer is written, so the limits on open calls and announced bytes bound the memory
 * that a peer can use. Confined to the event loop, except for the replies, which may come from any thread.
 */
final class IncomingCalls {
    /**
     * Limit on the announced body bytes of all open calls of a connection, as a multiple of the maximum body size.
     * Allows 16 concurrent calls of the maximum size without letting one peer exhaust the node's memory.
     */
    static final int MAXIMUM_ANNOUNCED_BODIES = 16;

    private static final Logger LOGGER = LoggerFactory.getLogger(IncomingCalls.class);

    private final FrameWriter writer;
    private final EndpointContext context;
    private final String peerVm;
    private final Consumer<Runnable> eventLoop;
    private final TransitDelay transit;
    private final Map<Long, IncomingCall> calls = new HashMap<>();
    private final Set<Long> tickets = new HashSet<>();
    private long highestNumber;
    private long highestTicketNumber;
    private long announcedBytes;

    /**
     * Creates an empty table.
     *
     * @param transit measures the transit delay of calls
     * @param eventLoop runs a task on the event loop; drops it if the event loop is shut down
     */
    IncomingCalls(
            FrameWriter writer,
            EndpointContext context,
            String peerVm,
            TransitDelay transit,
            Consumer<Runnable> eventLoop) {
        this.transit = transit;
        this.writer = writer;
        this.context = context;
        this.peerVm = peerVm;
        this.eventLoop = eventLoop;
    }

    void start(CallStart start) throws ProtocolException {
        advanceNumber(start.getCall());
        FrameConverter.checkRanges(start);
        Optional<Refusal> reason = refusalReason(start);
        if (reason.isPresent()) {
            refuse(start, reason.get());
            return;
        }
        announcedBytes += start.getBodyLength();
        calls.put(
                start.getCall(),
                new IncomingCall(start, transit.excessNanoseconds(start.getSentNanoseconds(), System.nanoTime())));
    }

    void chunk(Chunk chunk) throws ProtocolException {
        IncomingCall call = find(chunk.getCall());
        if (call != null) {
            requireOpenBody(call).append(chunk.getData());
        }
    }

    void end(CallEnd end) throws ProtocolException {
        IncomingCall call = find(end.getCall());
        if (call == null) {
            return;
        }
        byte[] body = requireOpenBody(call).finish(end.getCrc32C());
        call.setCancelHandle(passToHandler(call, FrameConverter.call(call.start(), body, call.elapsedMilliseconds())));
    }

    void cancel(Cancel cancel) throws ProtocolException {
        IncomingCall call = find(cancel.getCall());
        if (call == null || call.isCancelled()) {
            return;
        }
        call.markCancelled();
        if (call.cancelHandle().isEmpty()) {
            remove(call);
            refuse(call.start(), Refusal.of(ResultCode.CANCELLED_BEFORE_RUN, "cancelled before it had arrived"));
            return;
        }
        if (call.answerStream().isPresent()) {
            stopAnswer(call, call.answerStream().get());
            return;
        }
        Callbacks.run(call.cancelHandle().get()::cancel);
    }

    void requestTicket(TicketRequest request) throws ProtocolException {
        long number = request.getCall();
        advanceTicketNumber(number);
        if (isFull()) {
            refuseTicket(number, tooManyCalls());
            return;
        }
        tickets.add(number);
        context.callHandler().ticket(peerVm, request.getService(), request.getKind(), new TicketReply(number));
    }

    /** Cancels the unanswered calls passed to the handler, because their answers can no longer be delivered. */
    void connectionLost() {
        List<IncomingCall> open = new ArrayList<>(calls.values());
        calls.clear();
        tickets.clear();
        for (IncomingCall call : open) {
            if (!call.isCancelled() && call.answerStream().isEmpty()) {
                call.cancelHandle().ifPresent(handle -> Callbacks.run(handle::cancel));
            }
        }
    }

    private Optional<Refusal> refusalReason(CallStart start) {
        int length = start.getBodyLength();
        int limit = context.settings().maximumBodyBytes();
        if (length > limit) {
            String detail = "the body has " + length + " bytes; the limit is " + limit;
            return Optional.of(Refusal.of(ResultCode.BODY_TOO_LARGE, detail));
        }
        if (isFull()) {
            return Optional.of(tooManyCalls());
        }
        if (announcedBytes + length > (long) MAXIMUM_ANNOUNCED_BODIES * limit) {
            return Optional.of(Refusal.of(ResultCode.NODE_BUSY, "too many bytes of bodies on the connection"));
        }
        return Optional.empty();
    }

    private boolean isFull() {
        return calls.size() + tickets.size() >= Connection.MAXIMUM_OPEN_CALLS;
    }

    private static Refusal tooManyCalls() {
        return Refusal.of(ResultCode.NODE_BUSY, "too many open calls on the connection");
    }

    private CancelHandle passToHandler(IncomingCall call, CallMessage message) {
        AnswerReply reply = new AnswerReply(call);
        try {
            return Objects.requireNonNull(context.callHandler().call(peerVm, message, reply), "cancel handle");
        } catch (RuntimeException exception) {
            LOGGER.error(
                    "handler failed on a call to service {}, kind {}", message.service(), message.kind(), exception);
            Refusal refusal = Refusal.of(ResultCode.OUTCOME_UNKNOWN, "the handler of the call failed");
            reply.refused(new RefusalMessage(refusal, 0, context.lastLoad(), true));
            return () -> {};
        }
    }

    private void answer(IncomingCall call, AnswerMessage message) {
        context.setLastLoad(message.load());
        if (calls.get(call.number()) != call) {
            return;
        }
        if (call.isCancelled()) {
            endWithRefusal(call, cancelledRunning(message));
            return;
        }
        Frame start = FrameConverter.answerStart(call.number(), message);
        if (message.body().length > context.settings().maximumBodyBytes() || !Frames.fits(start)) {
            Refusal refusal = Refusal.of(ResultCode.ANSWER_TOO_LARGE, "body or headers exceed the limit");
            endWithRefusal(call, new RefusalMessage(refusal, message.unusedAllowance(), message.load(), true));
            return;
        }
        BodyStream stream = new BodyStream(
                call.number(), () -> Optional.of(start), message.body(), checksum -> endAnswer(call, checksum));
        call.answerStarted(message, stream);
        writer.add(stream);
    }

    private Frame endAnswer(IncomingCall call, int checksum) {
        remove(call);
        AnswerEnd.Builder end = AnswerEnd.newBuilder().setCall(call.number()).setCrc32C(checksum);
        return Frame.newBuilder().setAnswerEnd(end).build();
    }

    /** Stops sending an answer. If its start frame was sent, the peer ends the call itself and gets no refusal. */
    private void stopAnswer(IncomingCall call, BodyStream stream) {
        writer.remove(stream);
        if (stream.started()) {
            remove(call);
        } else {
            endWithRefusal(call, cancelledRunning(call.answer()));
        }
    }

    private static RefusalMessage cancelledRunning(AnswerMessage answer) {
        Refusal refusal = Refusal.of(ResultCode.CANCELLED_RUNNING, "answered after the call was cancelled");
        return new RefusalMessage(refusal, answer.unusedAllowance(), answer.load(), true);
    }

    private void endWithRefusal(IncomingCall call, RefusalMessage message) {
        context.setLastLoad(message.load());
        if (calls.get(call.number()) != call) {
            return;
        }
        remove(call);
        writer.sendControl(
                FrameConverter.refused(call.number(), message.refusal(), message.unusedAllowance(), message.load()));
    }

    /** Refuses a call that was not passed to the handler; its whole allowance is returned as unused. */
    private void refuse(CallStart start, Refusal refusal) {
        writer.sendControl(FrameConverter.refused(start.getCall(), refusal, start.getAllowance(), context.lastLoad()));
    }

    private void refuseTicket(long number, Refusal refusal) {
        writer.sendControl(FrameConverter.refused(number, refusal, 0, context.lastLoad()));
    }

    private void remove(IncomingCall call) {
        if (calls.remove(call.number()) != null) {
            announcedBytes -= call.start().getBodyLength();
        }
    }

    private void advanceNumber(long number) throws ProtocolException {
        highestNumber = requireHigher(number, highestNumber);
    }

    /** Ticket requests may overtake queued calls, so the order of their numbers is checked separately. */
    private void advanceTicketNumber(long number) throws ProtocolException {
        highestTicketNumber = requireHigher(number, highestTicketNumber);
    }

    private static long requireHigher(long number, long highest) throws ProtocolException {
        if (number <= highest) {
            throw FrameConverter.invalid("the peer used call number " + number + " after " + highest);
        }
        return number;
    }

    /** Returns an open call, or null if it has ended; fails if it was never started. */
    private IncomingCall find(long number) throws ProtocolException {
        if (number > highestNumber) {
            throw FrameConverter.invalid("the peer continued call " + number + ", which it did not start");
        }
        return calls.get(number);
    }

    private static BodyAssembly requireOpenBody(IncomingCall call) throws ProtocolException {
        if (call.cancelHandle().isPresent()) {
            throw FrameConverter.invalid("the peer continued call " + call.number() + " after its end");
        }
        return call.body();
    }

    /** Receives the handler's reply to a call; replies after the first are ignored. */
    private final class AnswerReply implements AnswerListener {
        private final IncomingCall call;
        private final AtomicBoolean replied = new AtomicBoolean();

        AnswerReply(IncomingCall call) {
            this.call = call;
        }

        @Override
        public void answered(AnswerMessage message) {
            if (replied.compareAndSet(false, true)) {
                eventLoop.accept(() -> answer(call, message));
            }
        }

        @Override
        public void refused(RefusalMessage message) {
            if (replied.compareAndSet(false, true)) {
                eventLoop.accept(() -> endWithRefusal(call, message));
            }
        }
    }

    /** Receives the handler's reply to a ticket request; replies after the first are ignored. */
    private final class TicketReply implements TicketListener {
        private final long number;

        TicketReply(long number) {
            this.number = number;
        }

        @Override
        public void granted(String ticket) {
            TicketGrant.Builder grant = TicketGrant.newBuilder().setCall(number).setTicket(ticket);
            eventLoop.accept(() -> end(Frame.newBuilder().setTicketGrant(grant).build()));
        }

        @Override
        public void refused(Refusal refusal) {
            eventLoop.accept(() -> end(FrameConverter.refused(number, refusal, 0, context.lastLoad())));
        }

        private void end(Frame frame) {
            if (tickets.remove(number)) {
                writer.sendControl(frame);
            }
        }
    }
}
