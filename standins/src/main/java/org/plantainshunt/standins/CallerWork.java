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
 * One piece of work of a caller, from its first attempt to its outcome.
 *
 * <p>After an unknown outcome, work that runs at most once is repeated only with the same ticket; after "not run" a new
 * ticket is taken. Confined to its execution.
 */
final class CallerWork {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    /** Time beyond the deadline in which a patient caller still waits to be told the outcome. */
    private static final long GRACE_MILLISECONDS = 1_000;

    private static final long FIRST_PAUSE_MILLISECONDS = 50;

    private final CallerContext context;
    private final KindLoad load;
    private final String workId;
    private final long dueAt;
    private final BiConsumer<CallerWork, KindTally.WorkEnd> ended;
    private Optional<String> ticket = Optional.empty();
    private boolean ranBefore;
    private boolean unknownBefore;
    private int attempts = 1;
    private int ticketRounds;
    private int sends;

    /**
     * Creates a work.
     *
     * @param dueAt the nanosecond of the monotonic clock at which it is due
     */
    CallerWork(
            CallerContext context,
            KindLoad load,
            String workId,
            long dueAt,
            BiConsumer<CallerWork, KindTally.WorkEnd> ended) {
        this.context = context;
        this.load = load;
        this.workId = workId;
        this.dueAt = dueAt;
        this.ended = ended;
    }

    KindLoad load() {
        return load;
    }

    /** Makes the next attempt; must run on an execution of Ratpack. */
    void attempt() {
        long left = millisecondsLeft();
        Endpoint entry = context.drawEntry();
        String attemptId = workId + ".a" + ++sends;
        long sentAt = System.nanoTime();
        long sentAtMillis = System.currentTimeMillis();
        send(entry, attemptId, left).then(answer -> {
            long waited = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
            context.attempts().accept(record(entry, attemptId, answer, sentAtMillis, waited));
            decide(answer);
        });
    }

    private Promise<NodeAnswer> send(Endpoint entry, String attemptId, long left) {
        URI uri = URI.create("http://" + entry + "/" + load.target() + "?size=" + load.answerBytes());
        long patience = context.plan().retryStyle() == RetryStyle.HARD ? left : left + GRACE_MILLISECONDS;
        return context.client()
                .request(uri, spec -> {
                    spec.post().connectTimeout(CONNECT_TIMEOUT).readTimeout(Duration.ofMillis(patience));
                    spec.redirects(0);
                    spec.headers(headers -> {
                        headers.set(HeaderNames.WORK_ID, workId);
                        headers.set(HeaderNames.ATTEMPT_ID, attemptId);
                        headers.set(HeaderNames.REQUEST_ID, attemptId);
                        headers.set(HeaderNames.DEADLINE, Long.toString(left));
                        headers.set(HeaderNames.ATTEMPT, Integer.toString(attempts));
                        ticket.ifPresent(value -> headers.set(HeaderNames.TICKET, value));
                    });
                    if (load.bodyBytes() > 0) {
                        spec.body(body -> body.bytes(new byte[load.bodyBytes()]));
                    }
                })
                .map((ReceivedResponse response) -> NodeAnswer.of(response, workId))
                .mapError(NodeAnswer::of);
    }

    private void decide(NodeAnswer answer) {
        if (answer.asksForTicket() && ticket.isEmpty()) {
            ticketRounds++;
            ticket = answer.ticket();
            attempt();
            return;
        }
        if (answer.whole() || answer.damaged() || !mayRepeat(answer)) {
            end(answer);
            return;
        }
        prepareRepeat(answer);
    }

    private boolean mayRepeat(NodeAnswer answer) {
        RetryStyle style = context.plan().retryStyle();
        if (style == RetryStyle.NONE || attempts >= context.plan().attempts()) {
            return false;
        }
        if (answer.runState() == RunState.RUN && load.atMostOnce()) {
            return false;
        }
        return style == RetryStyle.HARD || millisecondsLeft() > pauseMilliseconds(answer);
    }

    private void prepareRepeat(NodeAnswer answer) {
        if (answer.runState() == RunState.NOT_RUN) {
            ticket = Optional.empty();
        } else {
            // The issuer of a ticket answers for all attempts with it; other work may have run in any attempt.
            unknownBefore |= !load.atMostOnce() && answer.runState() == RunState.UNKNOWN;
            ranBefore |= answer.runState() == RunState.RUN;
        }
        // Without a ticket nothing tells one attempt at a kind that runs at most once from the next.
        if (load.atMostOnce() && ticket.isEmpty() && answer.runState() != RunState.NOT_RUN) {
            end(answer);
            return;
        }
        long pause = pauseMilliseconds(answer);
        attempts++;
        if (pause == 0) {
            attempt();
            return;
        }
        Execution.sleep(Duration.ofMillis(pause), this::attempt);
    }

    private long pauseMilliseconds(NodeAnswer answer) {
        if (context.plan().retryStyle() == RetryStyle.HARD) {
            return 0;
        }
        long growing = FIRST_PAUSE_MILLISECONDS << Math.min(attempts, 6);
        return Math.max(answer.retryAfterMilliseconds(), context.jitter(growing));
    }

    private void end(NodeAnswer answer) {
        long now = System.nanoTime();
        long latency = TimeUnit.NANOSECONDS.toMicros(now - dueAt);
        int second = (int) TimeUnit.NANOSECONDS.toSeconds(now - context.startedAt());
        ended.accept(
                this,
                new KindTally.WorkEnd(
                        outcome(answer, latency),
                        answer.result(),
                        failedCall(answer),
                        attempts,
                        ticketRounds,
                        latency,
                        second));
    }

    private String failedCall(NodeAnswer answer) {
        return answer.failedCall().orElse("status " + answer.status() + ", result " + answer.result());
    }

    private WorkOutcome outcome(NodeAnswer answer, long latencyMicroseconds) {
        if (answer.whole()) {
            boolean late = latencyMicroseconds > TimeUnit.MILLISECONDS.toMicros(load.deadlineMilliseconds());
            return late ? WorkOutcome.LATE : WorkOutcome.WHOLE;
        }
        if (answer.damaged()) {
            return WorkOutcome.DAMAGED;
        }
        if (answer.runState() == RunState.RUN || ranBefore) {
            return WorkOutcome.FAILED;
        }
        return answer.runState() == RunState.UNKNOWN || unknownBefore ? WorkOutcome.UNKNOWN : WorkOutcome.NOT_RUN;
    }

    private long millisecondsLeft() {
        if (context.plan().retryStyle() == RetryStyle.HARD) {
            return load.deadlineMilliseconds();
        }
        long spent = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - dueAt);
        return Math.max(1, load.deadlineMilliseconds() - spent);
    }

    private AttemptRecord record(Endpoint entry, String attemptId, NodeAnswer answer, long sentAt, long waited) {
        return new AttemptRecord(
                workId,
                attemptId,
                load.service(),
                load.kind(),
                load.atMostOnce(),
                entry.toString(),
                ticket.orElse(""),
                answer.status(),
                answer.result(),
                answer.runState().label(),
                answer.fault().orElse(""),
                sentAt,
                waited);
    }
}
