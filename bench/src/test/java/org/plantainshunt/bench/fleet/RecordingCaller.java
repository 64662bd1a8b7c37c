package org.plantainshunt.bench.fleet;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;
import org.plantainshunt.standins.AttemptRecord;
import org.plantainshunt.standins.Endpoint;
import org.plantainshunt.standins.HeaderNames;
import org.plantainshunt.standins.KindLoad;
import org.plantainshunt.standins.ResponseBody;

/**
 * A caller that waits for each answer and records every attempt.
 *
 * <p>It never retries by itself, so that a test decides which ticket is sent to which node. Safe for use by any thread.
 */
final class RecordingCaller {
    /** How long a caller waits beyond the deadline, so that it receives the node's result. */
    private static final Duration EXTRA_WAIT = Duration.ofSeconds(1);

    private static final int STATUS_OK = 200;

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final Collection<AttemptRecord> attempts = new ConcurrentLinkedQueue<>();
    private final AtomicLong sent = new AtomicLong();

    /**
     * What a node answered.
     *
     * @param attempt the record of the attempt
     * @param freshTicket the ticket in an answer with result 1105 (ticket required)
     */
    record Reply(AttemptRecord attempt, Optional<String> freshTicket) {
        boolean whole() {
            return attempt.status() == STATUS_OK && attempt.fault().isEmpty();
        }

        /** Returns whether a node, not the caller's own connection, says that the request did not run. */
        boolean nodeSaysNotRun() {
            return attempt.result() != 0 && attempt.run().equals(RunState.NOT_RUN.label());
        }

        int result() {
            return attempt.result();
        }
    }

    Collection<AttemptRecord> attempts() {
        return List.copyOf(attempts);
    }

    /** Returns the number of attempts with this result code. */
    long count(ResultCode code) {
        return attempts.stream()
                .filter(attempt -> attempt.result() == code.number())
                .count();
    }

    /** Sends a request and waits for the answer, up to a second beyond the deadline of the kind. */
    Reply send(Endpoint entry, KindLoad kind, String workId, String ticket) throws InterruptedException {
        return send(
                entry,
                kind,
                workId,
                ticket,
                Duration.ofMillis(kind.deadlineMilliseconds()).plus(EXTRA_WAIT));
    }

    /** Sends a request and closes the connection if there is no answer within the timeout. */
    Reply send(Endpoint entry, KindLoad kind, String workId, String ticket, Duration timeout)
            throws InterruptedException {
        String attemptId = workId + ".a" + sent.incrementAndGet();
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + entry + "/" + kind.target() + "?size=" + kind.responseBytes()))
                .timeout(timeout)
                .header(HeaderNames.WORK_ID, workId)
                .header(HeaderNames.ATTEMPT_ID, attemptId)
                .header(HeaderNames.REQUEST_ID, attemptId)
                .header(HeaderNames.DEADLINE, Long.toString(kind.deadlineMilliseconds()))
                .POST(BodyPublishers.ofByteArray(new byte[kind.bodyBytes()]));
        if (!ticket.isEmpty()) {
            request.header(HeaderNames.TICKET, ticket);
        }
        long startedAt = System.currentTimeMillis();
        Answer answer = exchange(request.build(), workId);
        AttemptRecord attempt = new AttemptRecord(
                workId,
                attemptId,
                kind.service(),
                kind.kind(),
                kind.atMostOnce(),
                entry.toString(),
                ticket,
                answer.status,
                answer.result,
                answer.run.label(),
                answer.fault,
                startedAt,
                System.currentTimeMillis() - startedAt);
        attempts.add(attempt);
        boolean ticketRequired = answer.result == ResultCode.TICKET_REQUIRED.number();
        return new Reply(attempt, ticketRequired ? answer.ticket : Optional.empty());
    }

    private Answer exchange(HttpRequest request, String workId) throws InterruptedException {
        try {
            HttpResponse<byte[]> response = client.send(request, BodyHandlers.ofByteArray());
            int result = response.headers()
                    .firstValue(HeaderNames.RESULT)
                    .map(Integer::parseInt)
                    .orElse(0);
            RunState run = ResultCode.ofNumber(result).map(ResultCode::runState).orElse(RunState.UNKNOWN);
            String fault = response.statusCode() == STATUS_OK
                    ? ResponseBody.fault(response.body(), workId).orElse("")
                    : "status " + response.statusCode();
            return new Answer(
                    response.statusCode(),
                    result,
                    run,
                    fault,
                    response.headers().firstValue(HeaderNames.TICKET));
        } catch (ConnectException notSent) {
            return new Answer(0, 0, RunState.NOT_RUN, notSent.toString(), Optional.empty());
        } catch (IOException failure) {
            return new Answer(0, 0, RunState.UNKNOWN, failure.toString(), Optional.empty());
        }
    }

    private record Answer(int status, int result, RunState run, String fault, Optional<String> ticket) {}
}
