package org.plantainshunt.standins;

import java.net.ConnectException;
import java.util.Optional;

import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;
import ratpack.http.client.ReceivedResponse;

/**
 * The response of a node to one attempt, or the lack of one, as its caller sees it.
 *
 * <p>Immutable.
 *
 * @param status the HTTP status; 0 if there was no response
 * @param result the number of the result code; 0 if there was none
 * @param runState whether the request ran, as far as the caller can know
 * @param ticket the ticket issued by the node
 * @param retryAfterMilliseconds minimum delay before a retry, from the Retry-After header; 0 if there is none
 * @param failedCall the outbound call that made the backend server fail, with the result code of that call
 * @param fault why this is not a successful, intact response; empty if it is
 */
record NodeResponse(
        int status,
        int result,
        RunState runState,
        Optional<String> ticket,
        long retryAfterMilliseconds,
        Optional<String> failedCall,
        Optional<String> fault) {
    private static final int STATUS_OK = 200;
    private static final long MILLISECONDS_PER_SECOND = 1_000;

    /** Reads an HTTP response and verifies that its body belongs to the given work id. */
    static NodeResponse of(ReceivedResponse response, String workId) {
        int result = (int) number(response.getHeaders().get(HeaderNames.RESULT));
        int status = response.getStatusCode();
        // A backend server called without a node sends no result code, but any response shows that it got the request.
        RunState runState =
                ResultCode.ofNumber(result).map(ResultCode::runState).orElse(RunState.RUN);
        return new NodeResponse(
                status,
                result,
                runState,
                Optional.ofNullable(response.getHeaders().get(HeaderNames.TICKET)),
                number(response.getHeaders().get(HeaderNames.RETRY_AFTER)) * MILLISECONDS_PER_SECOND,
                Optional.ofNullable(response.getHeaders().get(HeaderNames.FAILED_CALL)),
                status == STATUS_OK
                        ? ResponseBody.fault(response.getBody().getBytes(), workId)
                        : Optional.of("status " + status));
    }

    /** Describes an attempt without a response: it is known not to have run only if the connection failed. */
    static NodeResponse of(Throwable failure) {
        RunState runState = failure instanceof ConnectException ? RunState.NOT_RUN : RunState.UNKNOWN;
        return new NodeResponse(0, 0, runState, Optional.empty(), 0, Optional.empty(), Optional.of(failure.toString()));
    }

    boolean succeeded() {
        return fault.isEmpty();
    }

    boolean requiresTicket() {
        return result == ResultCode.TICKET_REQUIRED.number() && ticket.isPresent();
    }

    /** Returns whether the status is 200 but the body is truncated, corrupted or belongs to another request. */
    boolean damaged() {
        return status == STATUS_OK && fault.isPresent();
    }

    private static long number(String text) {
        if (text == null || text.isEmpty()) {
            return 0;
        }
        try {
            return Long.parseLong(text.strip());
        } catch (NumberFormatException failure) {
            return 0;
        }
    }
}
