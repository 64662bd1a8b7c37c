package org.plantainshunt.bench.policy;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A call as its entry node holds it, over all its attempts.
 *
 * <p>Confined to one thread.
 */
final class OutboundCall {
    final Request request;
    final Work work;
    final long deadline;
    final Optional<InboundCall> parent;
    final Set<Integer> tried = new HashSet<>();
    private final Consumer<Reply> done;
    private Optional<InboundCall> running = Optional.empty();
    private long attemptStartedAt;
    private int allowance;
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

    void startAttempt(InboundCall inbound, long now) {
        running = Optional.of(inbound);
        attemptStartedAt = now;
        attempts++;
    }

    boolean isRunning(InboundCall inbound) {
        return !over && running.isPresent() && running.get() == inbound;
    }

    Optional<InboundCall> running() {
        return running;
    }

    long attemptStartedAt() {
        return attemptStartedAt;
    }

    int attempts() {
        return attempts;
    }

    int allowance() {
        return allowance;
    }

    void setAllowance(int retries) {
        allowance = retries;
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
