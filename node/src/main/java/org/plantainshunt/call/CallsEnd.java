package org.plantainshunt.call;

import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;

/**
 * Ends the calls of a process that stops while their replies can still be delivered.
 *
 * <p>Calls sent during the stop carry the shortened deadline, so serving nodes refuse what they cannot start before it.
 * Those sent earlier are withdrawn from their serving nodes when it passes. Confined to the decision thread.
 */
final class CallsEnd {
    private long endAt = Long.MAX_VALUE;

    /** Sets the time at which all calls must end. */
    void set(long time) {
        endAt = time;
    }

    /** Shortens the deadline of a call that would last longer than the process. */
    void limit(EntryCall call) {
        if (call.deadline > endAt) {
            call.deadline = endAt;
            call.endsWithProcess = true;
        }
    }

    /** Returns whether a call has to be withdrawn from its serving node now. */
    static boolean isWithdrawalDue(EntryCall call, long now) {
        return call.endsWithProcess && !call.withdrawn && now >= call.deadline;
    }

    /** Returns the refusal for a call that was withdrawn, given the run state that the serving node reports. */
    static Refusal refusal(RunState state) {
        return Refusal.of(
                state == RunState.NOT_RUN ? ResultCode.DRAINING : ResultCode.OUTCOME_UNKNOWN,
                "this node stopped before the call ended");
    }
}
