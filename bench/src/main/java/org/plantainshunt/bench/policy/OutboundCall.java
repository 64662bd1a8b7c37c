package org.plantainshunt.bench.policy;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.plantainshunt.retry.AttemptAllowance;
import org.plantainshunt.retry.RetryShare;

/**
 * The state of a call at its entry node, over all its attempts.
 *
 * <p>Confined to one thread.
 */
final class OutboundCall {
    private static final RetryShare NO_RETRIES = new RetryShare(0, false);

    final Request request;
    final KindProfile kindProfile;
    final long deadline;
    final Optional<InboundCall> parent;
    /** The names of the nodes that have been tried. */
    final Set<String> triedNodes = new HashSet<>();

    private final Consumer<Reply> onEnd;
    private Optional<InboundCall> currentAttempt = Optional.empty();
    private Optional<AttemptAllowance> allowance = Optional.empty();
    private RetryShare attemptShare = NO_RETRIES;
    private int attempts;
    private boolean ended;

    /**
     * Creates a call.
     *
     * @param deadline the virtual time by which the answer must reach the entry node
     * @param parent the call for which the backend server makes this call, empty for a caller's request
     * @param onEnd receives the final reply of the call
     */
    OutboundCall(
            Request request,
            KindProfile kindProfile,
            long deadline,
            Optional<InboundCall> parent,
            Consumer<Reply> onEnd) {
        this.request = request;
        this.kindProfile = kindProfile;
        this.deadline = deadline;
        this.parent = parent;
        this.onEnd = onEnd;
    }

    void startAttempt(InboundCall inbound) {
        currentAttempt = Optional.of(inbound);
        attempts++;
    }

    boolean isRunning(InboundCall inbound) {
        return !ended && currentAttempt.isPresent() && currentAttempt.get() == inbound;
    }

    Optional<InboundCall> currentAttempt() {
        return currentAttempt;
    }

    int attempts() {
        return attempts;
    }

    /** Returns the retries that this call may use, if the policy limits them over the whole call chain. */
    Optional<AttemptAllowance> allowance() {
        return allowance;
    }

    void setAllowance(AttemptAllowance retries) {
        allowance = Optional.of(retries);
    }

    /** Returns the share of retries that is sent with the next or running attempt. */
    RetryShare attemptShare() {
        return attemptShare;
    }

    void setAttemptShare(RetryShare share) {
        attemptShare = share;
    }

    boolean ended() {
        return ended;
    }

    /** Ends the call; a second end is ignored. */
    void end(Reply reply) {
        if (!ended) {
            ended = true;
            onEnd.accept(reply);
        }
    }
}
