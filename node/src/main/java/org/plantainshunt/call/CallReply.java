package org.plantainshunt.call;

import java.util.List;
import java.util.Optional;

import org.plantainshunt.protocol.Header;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;

/**
 * The reply of an entry node to a caller.
 *
 * <p>Immutable, provided that the body array is not modified. Safe for use by any thread.
 *
 * @param requestId the id of the originating request, which a call of a backend server inherits
 * @param code the result
 * @param status the HTTP status
 * @param headers the backend server's headers
 * @param body the complete body of an answer, empty for a refusal
 * @param refusal the refusal, empty if there is an answer
 * @param ticket the ticket that was issued or used
 * @param retries the retries granted to this call; a granted retry counts even if no server is left to send it to
 */
public record CallReply(
        String requestId,
        ResultCode code,
        int status,
        List<Header> headers,
        byte[] body,
        Optional<Refusal> refusal,
        Optional<String> ticket,
        int retries) {
    private static final byte[] NO_BYTES = {};

    static CallReply refused(String requestId, Refusal refusal, Optional<String> ticket, int retries) {
        return new CallReply(
                requestId,
                refusal.code(),
                refusal.code().httpStatus(),
                List.of(),
                NO_BYTES,
                Optional.of(refusal),
                ticket,
                retries);
    }
}
