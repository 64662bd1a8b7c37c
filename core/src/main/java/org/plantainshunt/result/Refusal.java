package org.plantainshunt.result;

import java.util.Objects;

/**
 * A request that got no answer from a backend server, and why.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param code the result code
 * @param detail a human-readable description from the node that refused the request
 * @param retryAfterMilliseconds the delay after which a retry may succeed, in milliseconds; 0 if a retry does not help
 */
public record Refusal(ResultCode code, String detail, long retryAfterMilliseconds) {
    /** Checks that the code and the detail are present. */
    public Refusal {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(detail, "detail");
    }

    /** Creates a refusal for which a retry does not help. */
    public static Refusal of(ResultCode code, String detail) {
        return new Refusal(code, detail, 0);
    }
}
