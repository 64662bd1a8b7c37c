package org.plantainshunt.protocol;

import java.util.Objects;

import org.plantainshunt.result.Refusal;

/**
 * The end of a call without an answer. Immutable.
 *
 * @param refusal the reason
 * @param unusedAllowance unused retries of the call's allowance; 0 if unknown
 * @param load load of the serving node; {@link LoadReport#NONE} if {@code fromServingNode} is false
 * @param fromServingNode whether the serving node sent the refusal, or an answer that the calling side dropped because
 *     the call was cancelled or the answer too large; false if the connection was lost or the call was never sent
 */
public record RefusalMessage(Refusal refusal, int unusedAllowance, LoadReport load, boolean fromServingNode) {
    /** Rejects null components. */
    public RefusalMessage {
        Objects.requireNonNull(refusal, "refusal");
        Objects.requireNonNull(load, "load");
    }
}
