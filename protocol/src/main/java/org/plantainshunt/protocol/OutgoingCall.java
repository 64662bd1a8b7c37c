package org.plantainshunt.protocol;

import java.util.Optional;

import org.plantainshunt.protocol.wire.AnswerStart;

/** A call of this node that has not ended yet. Confined to the event loop after its creation. */
final class OutgoingCall {
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

    private final CallMessage message;
    private final AnswerListener listener;
    private final long createdNanoseconds = System.nanoTime();
    private long number;
    private BodyStream stream;
    private AnswerStart answerStart;
    private BodyAssembly answerBody;
    private boolean cancelled;
    private boolean ended;

    OutgoingCall(CallMessage message, AnswerListener listener) {
        this.message = message;
        this.listener = listener;
    }

    /** Sets the number of the call on the connection and the stream that sends it. */
    void open(long callNumber, BodyStream callStream) {
        number = callNumber;
        stream = callStream;
    }

    CallMessage message() {
        return message;
    }

    long number() {
        return number;
    }

    BodyStream stream() {
        return stream;
    }

    /** Returns the time left until the deadline, in milliseconds; not positive if it has passed. */
    long remainingMilliseconds() {
        long elapsed = System.nanoTime() - createdNanoseconds;
        return message.deadlineMilliseconds() - elapsed / NANOSECONDS_PER_MILLISECOND;
    }

    /** Returns whether the call stays open while its peer is silent. */
    boolean waitsForSilentPeer() {
        return !cancelled && remainingMilliseconds() > 0 && listener.waitsForSilentPeer();
    }

    void answerStarted(AnswerStart start) {
        answerStart = start;
        answerBody = new BodyAssembly(start.getBodyLength());
    }

    Optional<AnswerStart> answerStart() {
        return Optional.ofNullable(answerStart);
    }

    /** Returns the body of the answer; empty until the start of the answer has arrived. */
    Optional<BodyAssembly> answerBody() {
        return Optional.ofNullable(answerBody);
    }

    void markCancelled() {
        cancelled = true;
    }

    boolean isCancelled() {
        return cancelled;
    }

    boolean hasEnded() {
        return ended;
    }

    void answered(AnswerMessage answer) {
        ended = true;
        Callbacks.run(() -> listener.answered(answer));
    }

    void refused(RefusalMessage refusal) {
        ended = true;
        Callbacks.run(() -> listener.refused(refusal));
    }
}
