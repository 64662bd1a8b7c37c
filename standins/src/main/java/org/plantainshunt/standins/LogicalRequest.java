package org.plantainshunt.standins;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.plantainshunt.result.RunState;
import ratpack.exec.Execution;
import ratpack.exec.Promise;
import ratpack.http.client.ReceivedResponse;

/**
 * A request of a caller including its retries, from the first attempt to the outcome.
 *
 * <p>After an unknown outcome, an at-most-once request is retried only with the same ticket; after "not run" a new
 * ticket is requested. Confined to its Ratpack execution.
 */
final class LogicalRequest {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    /** How long after the deadline a caller other than a {@link RetryStyle#HARD} one still waits for the outcome. */
    private static final long GRACE_MILLISECONDS = 1_000;

    private static final long BASE_BACKOFF_MILLISECONDS = 50;

    private final CallerContext context;
    private final KindLoad load;
    private final String workId;
    private final long dueAt;
    private final BiConsumer<LogicalRequest, RequestStatistics.Completion> completionListener;
    private Optional<String> ticket = Optional.empty();
    private boolean earlierAttemptRan;
    private boolean earlierAttemptUnknown;
    private int attempts = 1;
    private int ticketRounds;
    private int sendCount;

    /**
     * Creates a request; {@link #attempt} sends it.
     *
     * @param dueAt the {@link System#nanoTime} at which the request is scheduled; deadline and latency count from it
     * @param completionListener called once with the outcome
     */
    LogicalRequest(
            CallerContext context,
            KindLoad load,
            String workId,
            long dueAt,
            BiConsumer<LogicalRequest, RequestStatistics.Completion> completionListener) {
        this.context = context;
        this.load = load;
        this.workId = workId;
        this.dueAt = dueAt;
        this.completionListener = completionListener;
    }

    KindLoad load() {
        return load;
    }

    /** Sends the next attempt; must be called on a Ratpack execution. */
    void attempt() {
        long remainingMilliseconds = remainingMilliseconds();
        Endpoint entry = context.randomEntry();
        String attemptId = workId + ".a" + ++sendCount;
        long sentAt = System.nanoTime();
        long sentAtMillis = System.currentTimeMillis();
        send(entry, attemptId, remainingMilliseconds).then(response -> {
            long waitedMilliseconds = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
            context.attemptListener().accept(record(entry, attemptId, response, sentAtMillis, waitedMilliseconds));
            handleResponse(response);
        });
    }

    private Promise<NodeResponse> send(Endpoint entry, String attemptId, long remainingMilliseconds) {
        URI uri = URI.create("http://" + entry + "/" + load.target() + "?size=" + load.responseBytes());
        long readTimeoutMilliseconds = context.plan().retryStyle() == RetryStyle.HARD
                ? remainingMilliseconds
                : remainingMilliseconds + GRACE_MILLISECONDS;
        return context.client()
                .request(uri, spec -> {
                    spec.post().connectTimeout(CONNECT_TIMEOUT).readTimeout(Duration.ofMillis(readTimeoutMilliseconds));
                    spec.redirects(0);
                    spec.headers(headers -> {
                        headers.set(HeaderNames.WORK_ID, workId);
                        headers.set(HeaderNames.ATTEMPT_ID, attemptId);
                        headers.set(HeaderNames.REQUEST_ID, attemptId);
                        headers.set(HeaderNames.DEADLINE, Long.toString(remainingMilliseconds));
                        headers.set(HeaderNames.ATTEMPT, Integer.toString(attempts));
                        ticket.ifPresent(value -> headers.set(HeaderNames.TICKET, value));
                    });
                    if (load.bodyBytes() > 0) {
                        spec.body(body -> body.bytes(new byte[load.bodyBytes()]));
                    }
                })
                .map((ReceivedResponse response) -> NodeResponse.of(response, workId))
                .mapError(NodeResponse::of);
    }

    private void handleResponse(NodeResponse response) {
        if (response.requiresTicket() && ticket.isEmpty()) {
            ticketRounds++;
            ticket = response.ticket();
            attempt();
            return;
        }
        if (response.succeeded() || response.damaged() || !mayRetry(response)) {
            complete(response);
            return;
        }
        retry(response);
    }

    private boolean mayRetry(NodeResponse response) {
        RetryStyle style = context.plan().retryStyle();
        if (style == RetryStyle.NONE || attempts >= context.plan().attempts()) {
            return false;
        }
        if (response.runState() == RunState.RUN && load.atMostOnce()) {
            return false;
        }
        return style == RetryStyle.HARD || remainingMilliseconds() > backoffMilliseconds(response);
    }

    private void retry(NodeResponse response) {
        if (response.runState() == RunState.NOT_RUN) {
            ticket = Optional.empty();
        } else {
            // The node that issued a ticket tracks the outcome of all attempts with it, so its last response decides.
            // Without tickets, any earlier attempt may have run.
            earlierAttemptUnknown |= !load.atMostOnce() && response.runState() == RunState.UNKNOWN;
            earlierAttemptRan |= response.runState() == RunState.RUN;
        }
        // Without a ticket, nodes cannot detect that a second attempt repeats an at-most-once request.
        if (load.atMostOnce() && ticket.isEmpty() && response.runState() != RunState.NOT_RUN) {
            complete(response);
            return;
        }
        long backoff = backoffMilliseconds(response);
        attempts++;
        if (backoff == 0) {
            attempt();
            return;
        }
        Execution.sleep(Duration.ofMillis(backoff), this::attempt);
    }

    private long backoffMilliseconds(NodeResponse response) {
        if (context.plan().retryStyle() == RetryStyle.HARD) {
            return 0;
        }
        long exponentialBackoff = BASE_BACKOFF_MILLISECONDS << Math.min(attempts, 6);
        return Math.max(response.retryAfterMilliseconds(), context.jitter(exponentialBackoff));
    }

    private void complete(NodeResponse response) {
        long now = System.nanoTime();
        long latency = TimeUnit.NANOSECONDS.toMicros(now - dueAt);
        int second = (int) TimeUnit.NANOSECONDS.toSeconds(now - context.startedAt());
        completionListener.accept(
                this,
                new RequestStatistics.Completion(
                        outcome(response, latency),
                        response.result(),
                        failedCall(response),
                        attempts,
                        ticketRounds,
                        latency,
                        second));
    }

    private String failedCall(NodeResponse response) {
        return response.failedCall().orElse("status " + response.status() + ", result " + response.result());
    }

    private RequestOutcome outcome(NodeResponse response, long latencyMicroseconds) {
        if (response.succeeded()) {
            boolean late = latencyMicroseconds > TimeUnit.MILLISECONDS.toMicros(load.deadlineMilliseconds());
            return late ? RequestOutcome.LATE : RequestOutcome.WHOLE;
        }
        if (response.damaged()) {
            return RequestOutcome.DAMAGED;
        }
        if (response.runState() == RunState.RUN || earlierAttemptRan) {
            return RequestOutcome.FAILED;
        }
        return response.runState() == RunState.UNKNOWN || earlierAttemptUnknown
                ? RequestOutcome.UNKNOWN
                : RequestOutcome.NOT_RUN;
    }

    private long remainingMilliseconds() {
        if (context.plan().retryStyle() == RetryStyle.HARD) {
            return load.deadlineMilliseconds();
        }
        long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - dueAt);
        return Math.max(1, load.deadlineMilliseconds() - elapsed);
    }

    private AttemptRecord record(
            Endpoint entry, String attemptId, NodeResponse response, long sentAt, long waitedMilliseconds) {
        return new AttemptRecord(
                workId,
                attemptId,
                load.service(),
                load.kind(),
                load.atMostOnce(),
                entry.toString(),
                ticket.orElse(""),
                response.status(),
                response.result(),
                response.runState().label(),
                response.fault().orElse(""),
                sentAt,
                waitedMilliseconds);
    }
}
