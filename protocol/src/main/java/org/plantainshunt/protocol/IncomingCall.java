package org.plantainshunt.protocol;

import java.util.Optional;

import org.plantainshunt.protocol.wire.CallStart;

/** A call from the peer whose answer has not been sent completely. Confined to the event loop. */
final class IncomingCall {
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

    private final CallStart start;
    private final BodyAssembly body;
    private final long startedNanoseconds = System.nanoTime();
    private final long delayNanoseconds;
    private CancelHandle cancelHandle;
    private AnswerMessage answer;
    private BodyStream answerStream;
    private boolean cancelled;

    /**
     * Creates a call whose body has not arrived yet.
     *
     * @param delayNanoseconds how much longer than usual the start frame was in transit
     */
    IncomingCall(CallStart start, long delayNanoseconds) {
        this.start = start;
        this.delayNanoseconds = delayNanoseconds;
        this.body = new BodyAssembly(start.getBodyLength());
    }

    CallStart start() {
        return start;
    }

    long number() {
        return start.getCall();
    }

    BodyAssembly body() {
        return body;
    }

    /** Returns the time since the start frame arrived, plus its excess transit delay, in milliseconds. */
    long elapsedMilliseconds() {
        return (System.nanoTime() - startedNanoseconds + delayNanoseconds) / NANOSECONDS_PER_MILLISECOND;
    }

    void setCancelHandle(CancelHandle handle) {
        cancelHandle = handle;
    }

    /** Returns the handler's cancel handle; empty before the call is passed to the handler. */
    Optional<CancelHandle> cancelHandle() {
        return Optional.ofNullable(cancelHandle);
    }

    void answerStarted(AnswerMessage message, BodyStream stream) {
        answer = message;
        answerStream = stream;
    }

    /** Returns the stream of the answer; empty before there is an answer. */
    Optional<BodyStream> answerStream() {
        return Optional.ofNullable(answerStream);
    }

    AnswerMessage answer() {
        return answer;
    }

    void markCancelled() {
        cancelled = true;
    }

    boolean isCancelled() {
        return cancelled;
    }
}
