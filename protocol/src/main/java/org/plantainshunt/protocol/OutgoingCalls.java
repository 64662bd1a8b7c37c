package org.plantainshunt.protocol;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.plantainshunt.protocol.wire.AnswerEnd;
import org.plantainshunt.protocol.wire.AnswerStart;
import org.plantainshunt.protocol.wire.CallEnd;
import org.plantainshunt.protocol.wire.CallRefused;
import org.plantainshunt.protocol.wire.Cancel;
import org.plantainshunt.protocol.wire.Chunk;
import org.plantainshunt.protocol.wire.Frame;
import org.plantainshunt.protocol.wire.TicketGrant;
import org.plantainshunt.protocol.wire.TicketRequest;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;

/**
 * The open calls and ticket requests of this node on one connection.
 *
 * <p>Each call is removed from the table before its listener is called, so a listener is called once. Frames for a call
 * that is no longer in the table are dropped: the peer may have sent them before it learned that the call had ended.
 * Confined to the event loop.
 */
final class OutgoingCalls {
    private final FrameWriter writer;
    private final int maximumBodyBytes;
    private final Map<Long, OutgoingCall> calls = new HashMap<>();
    private final Map<Long, TicketListener> tickets = new HashMap<>();
    private long nextNumber;
    private boolean closed;

    /**
     * Creates an empty table.
     *
     * @param firstNumber 1 on the connecting side and 2 on the accepting side, so that the two sides never use the same
     *     number
     */
    OutgoingCalls(FrameWriter writer, int maximumBodyBytes, int firstNumber) {
        this.writer = writer;
        this.maximumBodyBytes = maximumBodyBytes;
        this.nextNumber = firstNumber;
    }

    /** Returns whether a call number belongs to this side of the connection. */
    boolean isOwn(long number) {
        return (number & 1) == (nextNumber & 1);
    }

    boolean isEmpty() {
        return calls.isEmpty() && tickets.isEmpty();
    }

    void start(OutgoingCall call) {
        Optional<Refusal> reason = refusalReason(call.message());
        if (reason.isPresent()) {
            call.refused(unsentRefusal(call, reason.get()));
            return;
        }
        long number = takeNumber();
        call.open(
                number,
                new BodyStream(
                        number, () -> startFrame(call), call.message().body(), checksum -> endFrame(number, checksum)));
        calls.put(number, call);
        writer.add(call.stream());
    }

    void requestTicket(String service, String kind, TicketListener listener) {
        Optional<Refusal> reason = refusalReason();
        if (reason.isPresent()) {
            Callbacks.run(() -> listener.refused(reason.get()));
            return;
        }
        long number = takeNumber();
        TicketRequest.Builder request =
                TicketRequest.newBuilder().setCall(number).setService(service).setKind(kind);
        Frame frame = Frame.newBuilder().setTicketRequest(request).build();
        if (!Frames.fits(frame)) {
            Refusal refusal = Refusal.of(ResultCode.HEADER_TOO_LARGE, "the names of service and kind are too long");
            Callbacks.run(() -> listener.refused(refusal));
            return;
        }
        tickets.put(number, listener);
        writer.sendControl(frame);
    }

    /** Cancels a call. If part of it was sent, the call stays open until the peer reports how it ended. */
    void cancel(OutgoingCall call) {
        if (call.hasEnded() || call.isCancelled()) {
            return;
        }
        writer.remove(call.stream());
        if (!call.stream().started()) {
            refuse(
                    call,
                    unsentRefusal(call, Refusal.of(ResultCode.CANCELLED_BEFORE_RUN, "cancelled before it was sent")));
            return;
        }
        call.markCancelled();
        sendCancel(call);
        call.answerStart().ifPresent(start -> refuse(call, cancelledRunning(start)));
    }

    void answerStart(AnswerStart start) throws ProtocolException {
        OutgoingCall call = find(start.getCall());
        if (call == null) {
            return;
        }
        if (call.answerStart().isPresent() || start.getBodyLength() < 0) {
            throw FrameConverter.invalid("the peer sent a duplicate or invalid start of an answer");
        }
        if (call.isCancelled()) {
            refuse(call, cancelledRunning(start));
            return;
        }
        if (start.getBodyLength() > maximumBodyBytes) {
            sendCancel(call);
            String detail = "the answer has " + start.getBodyLength() + " bytes; the limit is " + maximumBodyBytes;
            refuse(call, refusal(start, Refusal.of(ResultCode.ANSWER_TOO_LARGE, detail)));
            return;
        }
        Optional<String> violation =
                AnswerRules.violation(start.getStatus(), FrameConverter.headers(start.getHeadersList()));
        if (violation.isPresent()) {
            sendCancel(call);
            refuse(call, refusal(start, Refusal.of(ResultCode.ANSWER_CUT, violation.get())));
            return;
        }
        call.answerStarted(start);
    }

    void chunk(Chunk chunk) throws ProtocolException {
        OutgoingCall call = find(chunk.getCall());
        if (call != null) {
            answerBody(call).append(chunk.getData());
        }
    }

    void answerEnd(AnswerEnd end) throws ProtocolException {
        OutgoingCall call = find(end.getCall());
        if (call == null) {
            return;
        }
        byte[] body = answerBody(call).finish(end.getCrc32C());
        AnswerMessage answer = FrameConverter.answer(call.answerStart().orElseThrow(), body);
        remove(call);
        call.answered(answer);
    }

    void refused(CallRefused refused) throws ProtocolException {
        TicketListener ticket = tickets.get(refused.getCall());
        if (ticket != null) {
            Refusal refusal = FrameConverter.refusal(refused);
            tickets.remove(refused.getCall());
            Callbacks.run(() -> ticket.refused(refusal));
            return;
        }
        OutgoingCall call = find(refused.getCall());
        if (call != null) {
            refuse(call, FrameConverter.refusalMessage(refused));
        }
    }

    void granted(TicketGrant grant) {
        TicketListener ticket = tickets.remove(grant.getCall());
        if (ticket != null) {
            Callbacks.run(() -> ticket.granted(grant.getTicket()));
        }
    }

    /**
     * Ends the calls and ticket requests that do not wait for a silent peer, as if the connection was lost. The peer is
     * told to cancel them, in case it is only paused.
     */
    void peerSilent() {
        for (OutgoingCall call : new ArrayList<>(calls.values())) {
            if (call.waitsForSilentPeer()) {
                continue;
            }
            if (call.stream().started() && !call.isCancelled()) {
                sendCancel(call);
            }
            refuse(call, connectionLostRefusal(call));
        }
        List<TicketListener> openTickets = new ArrayList<>(tickets.values());
        tickets.clear();
        openTickets.forEach(ticket -> Callbacks.run(() -> ticket.refused(connectFailed())));
    }

    /** Ends all open calls and ticket requests because the connection is lost. */
    void connectionLost() {
        closed = true;
        List<OutgoingCall> openCalls = new ArrayList<>(calls.values());
        List<TicketListener> openTickets = new ArrayList<>(tickets.values());
        calls.clear();
        tickets.clear();
        openCalls.forEach(call -> call.refused(connectionLostRefusal(call)));
        openTickets.forEach(ticket -> Callbacks.run(() -> ticket.refused(connectFailed())));
    }

    private static RefusalMessage connectionLostRefusal(OutgoingCall call) {
        if (!call.stream().started()) {
            return unsentRefusal(call, connectFailed());
        }
        if (call.answerStart().isPresent()) {
            return localRefusal(
                    Refusal.of(ResultCode.ANSWER_CUT, "the connection was lost in the middle of the answer"), 0);
        }
        return localRefusal(Refusal.of(ResultCode.OUTCOME_UNKNOWN, "the connection was lost before the answer"), 0);
    }

    static Refusal connectFailed() {
        return Refusal.of(ResultCode.CONNECT_FAILED, "the connection was lost before anything was sent");
    }

    /** Creates the refusal of a call that was never sent; its whole allowance is returned as unused. */
    static RefusalMessage unsentRefusal(OutgoingCall call, Refusal refusal) {
        return localRefusal(refusal, call.message().share().allowance());
    }

    private static RefusalMessage localRefusal(Refusal refusal, int unusedAllowance) {
        return new RefusalMessage(refusal, unusedAllowance, LoadReport.NONE, false);
    }

    private static RefusalMessage cancelledRunning(AnswerStart start) {
        return refusal(start, Refusal.of(ResultCode.CANCELLED_RUNNING, "the answer was dropped"));
    }

    private static RefusalMessage refusal(AnswerStart start, Refusal refusal) {
        return new RefusalMessage(refusal, start.getUnusedAllowance(), FrameConverter.load(start.getLoad()), true);
    }

    private Optional<Refusal> refusalReason() {
        if (closed) {
            return Optional.of(connectFailed());
        }
        if (calls.size() + tickets.size() >= Connection.MAXIMUM_OPEN_CALLS) {
            return Optional.of(Refusal.of(ResultCode.NODE_BUSY, "too many open calls on the connection"));
        }
        return Optional.empty();
    }

    private Optional<Refusal> refusalReason(CallMessage message) {
        int length = message.body().length;
        if (length > maximumBodyBytes) {
            String detail = "the body has " + length + " bytes; the limit is " + maximumBodyBytes;
            return Optional.of(Refusal.of(ResultCode.BODY_TOO_LARGE, detail));
        }
        return refusalReason();
    }

    /** Creates the start frame when the call is about to be sent, or refuses the call if it cannot be sent. */
    private Optional<Frame> startFrame(OutgoingCall call) {
        long remaining = call.remainingMilliseconds();
        if (remaining <= 0) {
            String detail = "the deadline passed while the call waited for the socket";
            refuse(call, unsentRefusal(call, Refusal.of(ResultCode.DEADLINE_TOO_SHORT, detail)));
            return Optional.empty();
        }
        Frame frame = FrameConverter.callStart(call.number(), call.message(), remaining);
        if (!Frames.fits(frame)) {
            String detail = "path and headers exceed a frame of " + Frames.MAXIMUM_BYTES + " bytes";
            refuse(call, unsentRefusal(call, Refusal.of(ResultCode.HEADER_TOO_LARGE, detail)));
            return Optional.empty();
        }
        return Optional.of(frame);
    }

    private static Frame endFrame(long number, int checksum) {
        CallEnd.Builder end = CallEnd.newBuilder().setCall(number).setCrc32C(checksum);
        return Frame.newBuilder().setCallEnd(end).build();
    }

    private long takeNumber() {
        long number = nextNumber;
        nextNumber += 2;
        return number;
    }

    /** Returns an open call, or null if it has ended; fails if nothing of the call was sent. */
    private OutgoingCall find(long number) throws ProtocolException {
        OutgoingCall call = calls.get(number);
        if (number >= nextNumber || call != null && !call.stream().started()) {
            throw FrameConverter.invalid("the peer answered call " + number + ", which was not sent");
        }
        return call;
    }

    private static BodyAssembly answerBody(OutgoingCall call) throws ProtocolException {
        return call.answerBody()
                .orElseThrow(() -> FrameConverter.invalid("the peer continued an answer that it did not start"));
    }

    private void sendCancel(OutgoingCall call) {
        Cancel.Builder cancel = Cancel.newBuilder().setCall(call.number());
        writer.sendControl(Frame.newBuilder().setCancel(cancel).build());
    }

    private void refuse(OutgoingCall call, RefusalMessage refusal) {
        remove(call);
        call.refused(refusal);
    }

    /** Removes a call from the table and stops sending its body, which the peer would drop. */
    private void remove(OutgoingCall call) {
        calls.remove(call.number());
        writer.remove(call.stream());
    }
}
