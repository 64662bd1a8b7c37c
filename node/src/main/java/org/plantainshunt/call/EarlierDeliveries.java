package org.plantainshunt.call;

import java.util.Set;

import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;

/** Decides what a refusal says of a call that may have been delivered before. Stateless. */
final class EarlierDeliveries {
    /** Refusals for which the ticket table has voided the ticket, so that the call can never run later. */
    private static final Set<ResultCode> TICKET_VOIDING_CODES = Set.of(
            ResultCode.OVERLOADED,
            ResultCode.DEADLINE_TOO_SHORT,
            ResultCode.DRAINING,
            ResultCode.CANCELLED_BEFORE_RUN,
            ResultCode.TICKET_VOID,
            ResultCode.CONNECT_FAILED);

    private EarlierDeliveries() {}

    /**
     * Returns the refusal to report for a call that may have been delivered before. "Not run" is reported only if its
     * ticket is void, and replaced by "outcome unknown" otherwise.
     */
    static Refusal downgradeNotRun(Refusal refusal, boolean fromServingNode) {
        if (refusal.code().runState() != RunState.NOT_RUN) {
            return refusal;
        }
        if (fromServingNode && TICKET_VOIDING_CODES.contains(refusal.code())) {
            return refusal;
        }
        String detail = "an earlier delivery may have run; this one met "
                + refusal.code().number() + " " + refusal.detail();
        return new Refusal(ResultCode.OUTCOME_UNKNOWN, detail, refusal.retryAfterMilliseconds());
    }
}
