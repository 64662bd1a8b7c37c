package org.plantainshunt.result;

import java.util.Objects;

/**
 * A request that got no answer from a backend server, and why.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param code the numbered reason
 * @param detail what happened at the deciding node, for a person
 * @param retryAfterMilliseconds when a repeat is worth while, in milliseconds; 0 if a repeat does not help
 */
public record Refusal(ResultCode code, String detail, long retryAfterMilliseconds) {
    /** Checks that no part is missing. */
    public Refusal {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(detail, "detail");
    }

    /** Creates a refusal for which a repeat does not help. */
    public static Refusal of(ResultCode code, String detail) {
        return new Refusal(code, detail, 0);
    }
}
