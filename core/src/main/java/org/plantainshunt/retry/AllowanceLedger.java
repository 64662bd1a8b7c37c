package org.plantainshunt.retry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.plantainshunt.configuration.AllowedCall;

/**
 * The retry allowance of one inbound call, kept by the node that serves it.
 *
 * <p>Invariant: the allowance that the ledger has spent, holds, has handed out and has returned never exceeds in total
 * the allowance that it received, so the retries of a request stay within its allowance over the whole call tree. A
 * declared outbound call is free; a call beyond the declared count is a repeat by the backend server and costs one.
 *
 * <pre>{@code
 * AllowanceLedger ledger = new AllowanceLedger(3, kind.calls());
 * Optional<RetryShare> share = ledger.take("recorder", "lookup-bell");
 * ledger.giveBack(share.get(), unusedInAnswer);
 * int unused = ledger.close();
 * }</pre>
 *
 * <p>Confined to one thread.
 */
public final class AllowanceLedger {
    private final int allowance;
    private final Map<String, Map<String, Integer>> declaredLeft = new HashMap<>();
    private int declaredCallsLeft;
    private int remaining;
    private int handedOut;

    /**
     * Creates the ledger of a call that runs for the first time.
     *
     * @param allowance the allowance that the call received, 0 or more
     * @param declared the outbound calls that the kind of the call declares
     */
    public AllowanceLedger(int allowance, List<AllowedCall> declared) {
        this.allowance = allowance;
        this.remaining = allowance;
        for (AllowedCall allowedCall : declared) {
            declaredLeft
                    .computeIfAbsent(allowedCall.service(), service -> new HashMap<>())
                    .merge(allowedCall.kind(), allowedCall.count(), Integer::sum);
            declaredCallsLeft += allowedCall.count();
        }
    }

    /**
     * Creates the ledger of a call that received a share.
     *
     * <p>For a repeat no declared call is free, because the first run may have made all of them already.
     */
    public static AllowanceLedger of(RetryShare share, List<AllowedCall> declared) {
        return new AllowanceLedger(share.allowance(), share.repeat() ? List.of() : declared);
    }

    /**
     * Takes the share of an outbound call.
     *
     * <p>The share is half of what is left, rounded up, or all of it for the last declared call.
     *
     * @return the allowance to pass on, or empty if the call must be refused with result code 1106
     *     ({@code RETRY_BOUND_REACHED})
     */
    public OptionalInt takeFor(String service, String kind) {
        Optional<RetryShare> share = take(service, kind);
        return share.isPresent() ? OptionalInt.of(share.get().allowance()) : OptionalInt.empty();
    }

    /**
     * Takes the share of an outbound call and says whether the call is a repeat.
     *
     * @return the share to pass on, or empty if the call must be refused with result code 1106
     *     ({@code RETRY_BOUND_REACHED})
     */
    public Optional<RetryShare> take(String service, String kind) {
        boolean declared = takeDeclared(service, kind);
        if (declared) {
            return Optional.of(handOut(declaredCallsLeft == 0 ? remaining : half(remaining), false));
        }
        if (remaining == 0) {
            return Optional.empty();
        }
        remaining--;
        return Optional.of(handOut(half(remaining), true));
    }

    /**
     * Takes back the unused part of a share; a share that was lost with its answer is never taken back.
     *
     * @param unused the unused allowance that the answer states; more than was handed out is ignored
     */
    public void giveBack(int unused) {
        int returned = Math.max(0, Math.min(unused, handedOut));
        handedOut -= returned;
        remaining += returned;
    }

    /**
     * Takes back the unused part of one share.
     *
     * @param share the share that was handed out
     * @param unused the unused allowance that the answer states; more than the share is ignored
     */
    public void giveBack(RetryShare share, int unused) {
        giveBack(Math.min(unused, share.allowance()));
    }

    /** Returns the allowance that is spent, handed out or returned to the caller. */
    public int spent() {
        return allowance - remaining;
    }

    /** Returns the allowance that is left. */
    public int remaining() {
        return remaining;
    }

    /**
     * Closes the ledger when the call is answered and returns the unused allowance for the answer.
     *
     * <p>What is returned must not be spent here too, so calls that the backend server makes after its answer can only
     * spend shares that are returned later.
     */
    public int close() {
        int unused = remaining;
        remaining = 0;
        return unused;
    }

    private boolean takeDeclared(String service, String kind) {
        Map<String, Integer> kinds = declaredLeft.get(service);
        if (kinds == null || kinds.getOrDefault(kind, 0) == 0) {
            return false;
        }
        kinds.merge(kind, -1, Integer::sum);
        declaredCallsLeft--;
        return true;
    }

    private RetryShare handOut(int share, boolean repeat) {
        remaining -= share;
        handedOut += share;
        return new RetryShare(share, repeat);
    }

    private static int half(int amount) {
        return (amount + 1) / 2;
    }
}
