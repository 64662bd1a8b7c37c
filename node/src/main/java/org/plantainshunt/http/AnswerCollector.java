package org.plantainshunt.http;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.plantainshunt.call.BackendServer;
import org.plantainshunt.call.BackendServer.FailureStage;
import org.plantainshunt.protocol.Header;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Collects the body of a streamed response and checks that it is complete.
 *
 * <p>Delivers exactly one result. Confined to the thread of its exchange.
 */
final class AnswerCollector implements Subscriber<ByteBuf> {
    private final Head head;
    private final long largestBytes;
    private final Consumer<Result> end;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final Future<?> timeout;
    private Subscription subscription;
    private boolean ended;

    /**
     * Creates a collector.
     *
     * @param head the status and the headers of the response
     * @param largestBytes the size limit of the body, in bytes
     * @param eventLoop the event loop of the exchange
     * @param nanoseconds the timeout for the whole response; the client's read timeout restarts with each byte, so a
     *     server that sends a few bytes now and then would never reach it
     * @param end receives the result
     */
    AnswerCollector(Head head, long largestBytes, EventLoop eventLoop, long nanoseconds, Consumer<Result> end) {
        this.head = head;
        this.largestBytes = largestBytes;
        this.end = end;
        this.timeout = eventLoop.schedule(this::timedOut, Math.max(0, nanoseconds), TimeUnit.NANOSECONDS);
    }

    @Override
    public void onSubscribe(Subscription given) {
        subscription = given;
        if (!head.whole()) {
            stop(FailureStage.ANSWER_CUT, "the response has no Content-Length and is not chunked");
        } else if (head.length().orElse(0) > largestBytes) {
            stop(FailureStage.ANSWER_TOO_LARGE, "the response body exceeds " + largestBytes + " bytes");
        } else {
            given.request(Long.MAX_VALUE);
        }
    }

    @Override
    public void onNext(ByteBuf part) {
        try {
            if (!ended) {
                take(part);
            }
        } finally {
            part.release();
        }
    }

    @Override
    public void onError(Throwable error) {
        if (RatpackBackendServer.stage(error) == FailureStage.TIMED_OUT) {
            end(new Result(head, body, FailureStage.TIMED_OUT, "no complete response in time"));
            return;
        }
        end(new Result(head, body, FailureStage.ANSWER_CUT, "cannot read the response: " + error));
    }

    @Override
    public void onComplete() {
        if (head.length().isPresent() && head.length().getAsLong() != body.size()) {
            end(new Result(head, body, FailureStage.ANSWER_CUT, "the response ended before its Content-Length"));
            return;
        }
        end(new Result(head, body, null, ""));
    }

    private void take(ByteBuf part) {
        if (body.size() + (long) part.readableBytes() > largestBytes) {
            stop(FailureStage.ANSWER_TOO_LARGE, "the response body exceeds " + largestBytes + " bytes");
            return;
        }
        body.writeBytes(ByteBufUtil.getBytes(part));
    }

    private void timedOut() {
        if (!ended && subscription != null) {
            stop(FailureStage.TIMED_OUT, "no complete response in time");
        }
    }

    private void stop(FailureStage stage, String detail) {
        subscription.cancel();
        end(new Result(head, body, stage, detail));
    }

    private void end(Result result) {
        if (!ended) {
            ended = true;
            timeout.cancel(false);
            end.accept(result);
        }
    }

    /**
     * The status and the headers of a response.
     *
     * @param status the HTTP status
     * @param headers the headers to forward
     * @param whole whether the message framing shows a truncated body: the body has a length, is chunked, or is absent
     * @param length the value of Content-Length, in bytes
     */
    record Head(int status, List<Header> headers, boolean whole, OptionalLong length) {}

    /** The outcome of reading a response; the stage is null if the response is complete. */
    record Result(Head head, ByteArrayOutputStream body, FailureStage stage, String detail) {
        void tell(BackendServer.Listener listener) {
            if (stage == null) {
                listener.answered(head.status(), head.headers(), body.toByteArray());
                return;
            }
            listener.failed(stage, detail);
        }
    }
}
