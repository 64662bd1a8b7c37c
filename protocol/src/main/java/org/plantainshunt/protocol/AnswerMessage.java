package org.plantainshunt.protocol;

import java.util.List;
import java.util.Objects;

import org.plantainshunt.result.ResultCode;

/**
 * The complete answer of a backend server. The body is not copied and must not be changed.
 *
 * @param code {@link ResultCode#ANSWERED} or {@link ResultCode#ANSWERED_AGAIN}
 * @param status HTTP status of the backend server
 * @param headers HTTP headers of the backend server
 * @param body whole body; empty if there is none
 * @param unusedAllowance unused retries of the call's allowance
 * @param load load of the serving node
 */
public record AnswerMessage(
        ResultCode code, int status, List<Header> headers, byte[] body, int unusedAllowance, LoadReport load) {
    /** Rejects null components and copies the headers. */
    public AnswerMessage {
        Objects.requireNonNull(code, "code");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(load, "load");
    }
}
