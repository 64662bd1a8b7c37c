package org.plantainshunt.execution;

import java.util.List;

import org.plantainshunt.result.ResultCode;

/**
 * A complete answer of a backend server, stored for repeated requests with the same ticket.
 *
 * <p>The body is not copied and must not be modified. Equality compares the body by identity.
 *
 * @param code the result code, {@link ResultCode#ANSWERED} for the first delivery
 * @param status the HTTP status
 * @param headerLines the header lines in their order, {@code name: value}
 * @param body the complete body
 */
public record Outcome(ResultCode code, int status, List<String> headerLines, byte[] body) {
    /** Copies the list of header lines. */
    public Outcome {
        headerLines = List.copyOf(headerLines);
    }

    /** Returns the size of the answer in bytes, with one byte for each header character. */
    long size() {
        long size = body.length;
        for (String line : headerLines) {
            size += line.length();
        }
        return size;
    }

    Outcome repeated() {
        return code == ResultCode.ANSWERED ? new Outcome(ResultCode.ANSWERED_AGAIN, status, headerLines, body) : this;
    }
}
