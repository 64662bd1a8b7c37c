package org.plantainshunt.http;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Locale;
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
import ratpack.exec.Execution;
import ratpack.exec.Promise;
import ratpack.http.Headers;
import ratpack.http.client.StreamedResponse;

/**
 * Collects the body of a streamed response and checks that it is complete.
 *
 * <p>Delivers exactly one result. Confined to the thread of its exchange.
 */
public final class ResponseCollector implements Subscriber<ByteBuf> {
    private final Head head;
    private final long maxBytes;
    private final Consumer<Result> listener;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final Future<?> timeout;
    private Subscription subscription;
    private boolean ended;

    /**
     * Creates a collector.
     *
     * @param head the status and the headers of the response
     * @param maxBytes the size limit of the body, in bytes
     * @param eventLoop the event loop of the exchange
     * @param timeoutNanos the timeout for the whole response; the client's read timeout restarts with each byte, so a
     *     server that sends a few bytes now and then would never reach it
     * @param listener receives the result
     */
    ResponseCollector(Head head, long maxBytes, EventLoop eventLoop, long timeoutNanos, Consumer<Result> listener) {
        this.head = head;
        this.maxBytes = maxBytes;
        this.listener = listener;
        this.timeout = eventLoop.schedule(this::timedOut, Math.max(0, timeoutNanos), TimeUnit.NANOSECONDS);
    }

    /**
     * Reads the body of a response.
     *
     * @param withoutBody whether a response of this status and to this method has no body
     * @param headers the headers to pass on with the result
     * @param maxBytes the size limit of the body, in bytes
     * @param timeoutNanos the timeout for the whole response, in nanoseconds
     */
    public static Promise<Result> collect(
            StreamedResponse response, boolean withoutBody, List<Header> headers, long maxBytes, long timeoutNanos) {
        OptionalLong length = contentLength(response.getHeaders());
        // A response that ends with its connection cannot be told from a truncated one, so it counts as truncated.
        boolean truncationDetectable = withoutBody || length.isPresent() || isChunked(response.getHeaders());
        Head head = new Head(
                response.getStatusCode(), headers, truncationDetectable, withoutBody ? OptionalLong.empty() : length);
        return Promise.async(downstream -> response.getBody()
                .subscribe(new ResponseCollector(
                        head, maxBytes, Execution.current().getEventLoop(), timeoutNanos, downstream::success)));
    }

    private static OptionalLong contentLength(Headers headers) {
        String text = headers.get("content-length");
        try {
            return text == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(text.trim()));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    private static boolean isChunked(Headers headers) {
        String encoding = headers.get("transfer-encoding");
        return encoding != null && encoding.toLowerCase(Locale.ROOT).contains("chunked");
    }

    @Override
    public void onSubscribe(Subscription given) {
        subscription = given;
        if (!head.truncationDetectable()) {
            fail(FailureStage.ANSWER_CUT, "the answer states no length");
        } else if (head.contentLength().orElse(0) > maxBytes) {
            fail(FailureStage.ANSWER_TOO_LARGE, "the answer has over " + maxBytes + " bytes");
        } else {
            given.request(Long.MAX_VALUE);
        }
    }

    @Override
    public void onNext(ByteBuf part) {
        try {
            if (!ended) {
                append(part);
            }
        } finally {
            part.release();
        }
    }

    @Override
    public void onError(Throwable error) {
        if (RatpackBackendServer.failureStage(error) == FailureStage.TIMED_OUT) {
            finish(new Result(head, body, FailureStage.TIMED_OUT, "no whole answer came in time"));
            return;
        }
        finish(new Result(head, body, FailureStage.ANSWER_CUT, "the answer broke off: " + error));
    }

    @Override
    public void onComplete() {
        if (head.contentLength().isPresent() && head.contentLength().getAsLong() != body.size()) {
            finish(new Result(head, body, FailureStage.ANSWER_CUT, "the answer ended before its stated length"));
            return;
        }
        finish(new Result(head, body, null, ""));
    }

    private void append(ByteBuf part) {
        if (body.size() + (long) part.readableBytes() > maxBytes) {
            fail(FailureStage.ANSWER_TOO_LARGE, "the answer has over " + maxBytes + " bytes");
            return;
        }
        body.writeBytes(ByteBufUtil.getBytes(part));
    }

    private void timedOut() {
        if (!ended && subscription != null) {
            fail(FailureStage.TIMED_OUT, "no whole answer came in time");
        }
    }

    private void fail(FailureStage stage, String detail) {
        subscription.cancel();
        finish(new Result(head, body, stage, detail));
    }

    private void finish(Result result) {
        if (!ended) {
            ended = true;
            timeout.cancel(false);
            listener.accept(result);
        }
    }

    /**
     * The status and the headers of a response.
     *
     * @param status the HTTP status
     * @param headers the headers to forward
     * @param truncationDetectable whether the message framing reveals a truncated body: the body has a length, is
     *     chunked, or is absent
     * @param contentLength the value of Content-Length, in bytes
     */
    public record Head(int status, List<Header> headers, boolean truncationDetectable, OptionalLong contentLength) {}

    /** The outcome of reading a response; the stage is null if the response is complete. */
    public record Result(Head head, ByteArrayOutputStream body, FailureStage stage, String detail) {
        /** Returns whether the whole response arrived. */
        public boolean complete() {
            return stage == null;
        }

        void deliverTo(BackendServer.Listener listener) {
            if (complete()) {
                listener.answered(head.status(), head.headers(), body.toByteArray());
                return;
            }
            listener.failed(stage, detail);
        }
    }
}
