package org.plantainshunt.retry;

/**
 * The part of a request's retry allowance that is passed on with one call.
 *
 * <p>A call that repeats work which may have run carries {@code repeat}. The calls that it causes are repeats too and
 * each cost one of the allowance; otherwise one repeat of a call would run everything downstream again at the cost of
 * one retry. Immutable and safe for use by any thread.
 *
 * @param allowance the number of retries that the callee may cause, 0 or more
 * @param repeat whether the call repeats work that may have run before
 */
public record RetryShare(int allowance, boolean repeat) {
    /** Checks that the allowance is not negative. */
    public RetryShare {
        if (allowance < 0) {
            throw new IllegalArgumentException("allowance is negative: " + allowance);
        }
    }
}
