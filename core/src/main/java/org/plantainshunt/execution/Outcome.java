package org.plantainshunt.execution;

import java.util.List;

import org.plantainshunt.result.ResultCode;

/**
 * A whole answer of a backend server, as it is stored for repeats of the same ticket.
 *
 * <p>The body is not copied, so nobody may change it. Compared by identity of the body.
 *
 * @param code the result code, {@link ResultCode#ANSWERED} for the first delivery
 * @param status the HTTP status
 * @param headerLines the header lines in their order, {@code name: value}
 * @param body the whole body
 */
public record Outcome(ResultCode code, int status, List<String> headerLines, byte[] body) {
    /** Copies the list of header lines. */
    public Outcome {
        headerLines = List.copyOf(headerLines);
    }

    /** Returns the memory that the answer takes, in bytes, at one byte a character of the headers. */
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
