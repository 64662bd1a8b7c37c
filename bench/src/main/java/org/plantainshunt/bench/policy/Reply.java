package org.plantainshunt.bench.policy;

import java.util.Optional;

import org.plantainshunt.result.ResultCode;

/**
 * The outcome of a call, as its entry node or caller sees it.
 *
 * <p>Immutable.
 *
 * @param code the result code; {@link ResultCode#ANSWERED} also if the backend server answered with an error
 * @param successful whether the answer is complete and not an error
 * @param retryAfterMilliseconds the delay after which the caller may repeat the request, 0 if not given
 * @param unusedAllowance the number of unused retries in the call's share
 * @param report the load report of the serving node, empty if the entry node ended the call itself
 */
record Reply(
        ResultCode code,
        boolean successful,
        long retryAfterMilliseconds,
        int unusedAllowance,
        Optional<NodeReport> report) {
    static Reply failure(ResultCode code, long retryAfterMilliseconds) {
        return new Reply(code, false, retryAfterMilliseconds, 0, Optional.empty());
    }
}
