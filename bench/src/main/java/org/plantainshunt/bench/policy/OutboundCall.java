package org.plantainshunt.bench.policy;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.plantainshunt.retry.AttemptAllowance;
import org.plantainshunt.retry.Share;

/**
 * A call as its entry node holds it, over all its attempts.
 *
 * <p>Confined to one thread.
 */
final class OutboundCall {
    private static final Share NO_RETRIES = new Share(0, false);

    final Request request;
    final Work work;
    final long deadline;
    final Optional<InboundCall> parent;
    /** The names of the nodes that have been tried. */
    final Set<String> tried = new HashSet<>();

    private final Consumer<Reply> done;
    private Optional<InboundCall> running = Optional.empty();
    private Optional<AttemptAllowance> allowance = Optional.empty();
    private Share attemptShare = NO_RETRIES;
    private int attempts;
    private boolean over;

    /**
     * Creates a call.
     *
     * @param deadline the virtual time by which the answer must be at the entry node
     * @param parent the call for which the backend server makes this call, empty for a caller's request
     * @param done takes the end of the call
     */
    OutboundCall(Request request, Work work, long deadline, Optional<InboundCall> parent, Consumer<Reply> done) {
        this.request = request;
        this.work = work;
        this.deadline = deadline;
        this.parent = parent;
        this.done = done;
    }

    void startAttempt(InboundCall inbound) {
        running = Optional.of(inbound);
        attempts++;
    }

    boolean isRunning(InboundCall inbound) {
        return !over && running.isPresent() && running.get() == inbound;
    }

    Optional<InboundCall> running() {
        return running;
    }

    int attempts() {
        return attempts;
    }

    /** Returns the retries that this call may use, if the policy bounds them over the chain. */
    Optional<AttemptAllowance> allowance() {
        return allowance;
    }

    void setAllowance(AttemptAllowance retries) {
        allowance = Optional.of(retries);
    }

    /** Returns the share that travels with the next or running attempt. */
    Share attemptShare() {
        return attemptShare;
    }

    void setAttemptShare(Share share) {
        attemptShare = share;
    }

    boolean over() {
        return over;
    }

    /** Ends the call; a second end is ignored. */
    void end(Reply reply) {
        if (!over) {
            over = true;
            done.accept(reply);
        }
    }
}
