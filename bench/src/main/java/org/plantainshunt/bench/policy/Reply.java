package org.plantainshunt.bench.policy;

import java.util.Optional;

import org.plantainshunt.result.ResultCode;

/**
 * The end of a call as its entry node or caller sees it.
 *
 * <p>Immutable.
 *
 * @param code the result code; {@link ResultCode#ANSWERED} also where the backend server answered with an error
 * @param successful whether the answer is whole and no error
 * @param retryAfterMilliseconds when a repeat is worth while, 0 if unstated
 * @param unusedAllowance the retries of the call's share that were not used
 * @param report what the serving node says about itself, empty if the entry node itself ended the call
 */
record Reply(
        ResultCode code,
        boolean successful,
        long retryAfterMilliseconds,
        int unusedAllowance,
        Optional<NodeReport> report) {
    static Reply refused(ResultCode code, long retryAfterMilliseconds) {
        return new Reply(code, false, retryAfterMilliseconds, 0, Optional.empty());
    }
}
