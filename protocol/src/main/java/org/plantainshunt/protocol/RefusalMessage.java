package org.plantainshunt.protocol;

import java.util.Objects;

import org.plantainshunt.result.Refusal;

/**
 * The end of a call without an answer. Immutable.
 *
 * @param refusal the reason
 * @param unusedAllowance retries of the call's allowance that were not spent; 0 if that cannot be known
 * @param load load of the serving node; {@link LoadReport#NONE} for a local refusal
 * @param fromServingNode whether the serving node said so; false for a refusal made by the calling side itself,
 *     because the connection was lost or the call was never sent
 */
public record RefusalMessage(Refusal refusal, int unusedAllowance, LoadReport load, boolean fromServingNode) {
    /** Checks that no part is missing. */
    public RefusalMessage {
        Objects.requireNonNull(refusal, "refusal");
        Objects.requireNonNull(load, "load");
    }
}
