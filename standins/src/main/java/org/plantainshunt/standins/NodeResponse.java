package org.plantainshunt.standins;

import java.net.ConnectException;
import java.util.Optional;

import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;
import ratpack.http.client.ReceivedResponse;

/**
 * What a node answered to one attempt, as its caller sees it.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param status the HTTP status; 0 if no answer came
 * @param result the number of the result code; 0 if the answer has none
 * @param runState whether the request ran, as far as the answer says
 * @param ticket the ticket of the answer
 * @param retryAfterMilliseconds how long the caller is asked to wait before a repeat; 0 if it is not asked
 * @param failedCall the call of the backend server that made it fail, with the result code of that call
 * @param fault why the body is not a whole answer to this request; nothing if it is
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

    /** Reads an answer to the work with this id. */
    static NodeResponse of(ReceivedResponse response, String workId) {
        int result = (int) number(response.getHeaders().get(HeaderNames.RESULT));
        int status = response.getStatusCode();
        // A backend server that is called directly sends no result code; its answer shows that the request arrived.
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
                        ? AnswerBody.fault(response.getBody().getBytes(), workId)
                        : Optional.of("status " + status));
    }

    /** Describes an attempt to which no answer came: it did not run only if no connection was made. */
    static NodeResponse of(Throwable failure) {
        RunState runState = failure instanceof ConnectException ? RunState.NOT_RUN : RunState.UNKNOWN;
        return new NodeResponse(0, 0, runState, Optional.empty(), 0, Optional.empty(), Optional.of(failure.toString()));
    }

    boolean succeeded() {
        return fault.isEmpty();
    }

    boolean asksForTicket() {
        return result == ResultCode.TICKET_REQUIRED.number() && ticket.isPresent();
    }

    /** Returns whether a successful status came with a body that is cut, damaged or of another request. */
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
