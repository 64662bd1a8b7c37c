package org.plantainshunt.retry;

import java.util.Optional;

/**
 * The share of one call at its entry node, divided among the call's attempts.
 *
 * <p>Invariant: retries taken plus the allowance sent with attempts, less what was returned, never exceeds the share. A
 * retry costs one. If an earlier attempt may have run, the retry is a repeat, for which every downstream call costs one
 * too; it is permitted only if the allowance covers all declared downstream calls, because a repeat that is refused
 * part-way is wasted work.
 *
 * <p>Confined to one thread.
 */
public final class AttemptAllowance {
    private final int declaredBelow;
    private final boolean repeat;
    private int remaining;

    /**
     * Creates the allowance of a call.
     *
     * @param share the call's share
     * @param declaredBelow the number of declared calls in the tree below the called kind; 0 for a leaf
     */
    public AttemptAllowance(RetryShare share, int declaredBelow) {
        this.remaining = share.allowance();
        this.repeat = share.repeat();
        this.declaredBelow = declaredBelow;
    }

    /**
     * Returns the share to send with the first attempt: half of the allowance, and none to a leaf.
     *
     * <p>A repeat receives enough for the declared calls below it, or all of the allowance if that is less.
     */
    public RetryShare firstAttempt() {
        return handOut(repeat);
    }

    /**
     * Takes a retry.
     *
     * @param mayHaveRun whether any earlier attempt of this call may have run
     * @return the share to send with the attempt, or empty if the call must be refused with result code 1106
     *     ({@code RETRY_BOUND_REACHED})
     */
    public Optional<RetryShare> retry(boolean mayHaveRun) {
        boolean isRepeat = repeat || mayHaveRun;
        int cost = isRepeat ? 1 + declaredBelow : 1;
        if (remaining < cost) {
            return Optional.empty();
        }
        remaining--;
        return Optional.of(handOut(isRepeat));
    }

    /**
     * Takes back the unused part of an attempt's share; for an attempt whose answer was lost this is not called.
     *
     * @param attempt the share that was sent
     * @param unused the unused allowance that the answer or refusal states; more than the share is ignored
     */
    public void giveBack(RetryShare attempt, int unused) {
        remaining += Math.max(0, Math.min(unused, attempt.allowance()));
    }

    /** Returns the allowance that is left, to be given back to the ledger when the call ends. */
    public int remaining() {
        return remaining;
    }

    private RetryShare handOut(boolean isRepeat) {
        int part = isRepeat ? Math.min(remaining, declaredBelow) : declaredBelow == 0 ? 0 : remaining / 2;
        remaining -= part;
        return new RetryShare(part, isRepeat);
    }
}
