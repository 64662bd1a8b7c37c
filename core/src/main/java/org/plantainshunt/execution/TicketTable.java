package org.plantainshunt.execution;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.plantainshunt.configuration.Policy;
import org.plantainshunt.execution.TicketEntry.State;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.RefusedException;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;

/**
 * The tickets that this process issued, and the state of their requests.
 *
 * <p>Invariants: {@link #begin} answers START at most once for a ticket, because START is given only on the change from
 * ISSUED to RUNNING and no state leads back to ISSUED. An entry is removed only when the configured time has passed
 * since its end, never while it runs, and its nonce is not issued again; a ticket without an entry cannot start. An
 * entry that {@link #refused} or expiry without use has made VOID never starts, so "not run" stays true.
 *
 * <p>Each request that got START must be ended by one of {@link #answered}, {@link #unknown} and {@link #refused}; only
 * {@link #answered} may follow {@link #unknown}. All times are nanoseconds of one monotonic clock. Confined to one
 * thread.
 *
 * <pre>
 * Ticket ticket = table.issue("scheduler", "push-schedule", now);
 * TicketUse use = table.begin(ticket.text(), "scheduler", "push-schedule", now);  // START
 * table.answered(ticket.text(), outcome, now);
 * </pre>
 */
public final class TicketTable {
    /** The largest total size of the stored answers, in bytes. */
    public static final long STORED_BYTES_LIMIT = 32L * 1024 * 1024;

    /** Bounds the work of one call after a long pause; two entries per call would suffice to keep up with issuing. */
    private static final int EXPIRED_PER_CALL = 16;

    private static final HexFormat HEXADECIMAL = HexFormat.of();

    private final String node;
    private final long incarnation;
    private final int capacity;
    private final RandomGenerator random;
    private final Map<String, TicketEntry> entries = new HashMap<>();
    private final ArrayDeque<TicketEntry> issuedInOrder = new ArrayDeque<>();
    private final ArrayDeque<TicketEntry> endedInOrder = new ArrayDeque<>();
    private final ArrayDeque<TicketEntry> storedInOrder = new ArrayDeque<>();
    private long useWithinNanos;
    private long keptForNanos;
    private long storedBytes;
    private boolean issuing = true;

    /**
     * Creates an empty table.
     *
     * @param node the name of this node, the first part of each ticket
     * @param incarnation the random number that this process chose at its start
     * @param capacity the largest number of tickets kept at a time
     * @param policy the times after which tickets and outcomes expire
     * @param random the source of nonces; it must be unpredictable outside tests
     */
    public TicketTable(String node, long incarnation, int capacity, Policy policy, RandomGenerator random) {
        this.node = node;
        this.incarnation = incarnation;
        this.capacity = capacity;
        this.random = random;
        configure(policy);
    }

    /** Changes the times after which tickets and outcomes expire, also for the tickets in the table. */
    public void configure(Policy policy) {
        useWithinNanos = policy.ticketUseWithin().toNanos();
        keptForNanos = policy.outcomeKeptFor().toNanos();
    }

    /**
     * Issues a ticket for one request.
     *
     * @throws RefusedException with {@link ResultCode#TICKET_TABLE_FULL} if no further ticket can be kept, and with
     *     {@link ResultCode#DRAINING} after {@link #stopIssuing}
     */
    public Ticket issue(String service, String kind, long now) throws RefusedException {
        expire(now);
        if (!issuing) {
            throw new RefusedException(Refusal.of(ResultCode.DRAINING, "node " + node + " issues no further tickets"));
        }
        if (entries.size() >= capacity) {
            String detail = "all " + capacity + " tickets are in use";
            throw new RefusedException(new Refusal(ResultCode.TICKET_TABLE_FULL, detail, millisecondsUntilSpace(now)));
        }
        TicketEntry entry = new TicketEntry(unusedNonce(), service, kind, now);
        entries.put(entry.nonce, entry);
        issuedInOrder.add(entry);
        return new Ticket(node, incarnation, entry.nonce);
    }

    /** Decides how to handle a request that presents this ticket. */
    public TicketUse begin(String ticket, String service, String kind, long now) {
        expire(now);
        TicketEntry entry = findEntry(ticket);
        if (entry == null || expired(entry, now)) {
            return TicketUse.refused(
                    Refusal.of(ResultCode.TICKET_EXPIRED_OR_FOREIGN, "node " + node + " has no entry for this ticket"));
        }
        if (!entry.isFor(service, kind)) {
            return TicketUse.refused(
                    Refusal.of(ResultCode.MALFORMED_REQUEST, "the ticket is for " + entry.service + " " + entry.kind));
        }
        if (entry.state == State.ISSUED && !withinUseTime(entry, now)) {
            end(entry, State.VOID, now);
        }
        if (entry.state == State.ISSUED) {
            entry.state = State.RUNNING;
            return TicketUse.start();
        }
        return decideRepeat(entry);
    }

    private TicketUse decideRepeat(TicketEntry entry) {
        switch (entry.state) {
            case RUNNING:
                return TicketUse.join();
            case UNKNOWN:
                return TicketUse.refused(entry.refusal);
            case VOID:
                return TicketUse.refused(Refusal.of(
                        ResultCode.TICKET_VOID, "the ticket was refused or not used in time, and never runs"));
            default:
                return entry.outcome == null
                        ? TicketUse.refused(Refusal.of(
                                ResultCode.ANSWER_NOT_KEPT, "the stored answer was dropped for lack of room"))
                        : TicketUse.replay(entry.outcome.repeated());
        }
    }

    /**
     * Records the complete answer of a request that started.
     *
     * <p>Replaces an unknown outcome, because a late answer is still valid. Only the first answer is kept. Has no
     * effect if the entry has expired since an unknown outcome was recorded.
     *
     * @throws IllegalStateException if the request did not start or was refused
     */
    public void answered(String ticket, Outcome outcome, long now) {
        TicketEntry entry = findEntry(ticket);
        if (entry == null || entry.state == State.ANSWERED) {
            return;
        }
        requireStarted(entry);
        entry.refusal = null;
        end(entry, State.ANSWERED, now);
        store(entry, outcome);
        expire(now);
    }

    /**
     * Records that a request that started has no complete answer; has no effect once an answer is recorded.
     *
     * @param refusal the refusal that repeated requests receive; its run state must not be "not run"
     * @throws IllegalStateException if the request did not start or was refused
     * @throws IllegalArgumentException if the refusal says "not run"
     */
    public void unknown(String ticket, Refusal refusal, long now) {
        if (refusal.code().runState() == RunState.NOT_RUN) {
            throw new IllegalArgumentException(refusal.code() + " says that the request did not run");
        }
        TicketEntry entry = findEntry(ticket);
        if (entry == null || entry.state == State.ANSWERED) {
            return;
        }
        requireStarted(entry);
        entry.refusal = refusal;
        end(entry, State.UNKNOWN, now);
        expire(now);
    }

    /**
     * Makes a ticket void, because its request was refused and certainly did not run.
     *
     * @throws IllegalStateException if the request was answered or its outcome is unknown
     * @throws IllegalArgumentException if the refusal does not say "not run" or the table has no entry for the ticket
     */
    public void refused(String ticket, Refusal refusal, long now) {
        if (refusal.code().runState() != RunState.NOT_RUN) {
            throw new IllegalArgumentException(refusal.code() + " does not say that the request did not run");
        }
        TicketEntry entry = requireEntry(ticket);
        if (entry.state == State.ANSWERED || entry.state == State.UNKNOWN) {
            throw new IllegalStateException("a request that is " + entry.state + " cannot be refused");
        }
        end(entry, State.VOID, now);
        expire(now);
    }

    /** Refuses to issue further tickets, with {@link ResultCode#DRAINING}; tickets issued before can still be used. */
    public void stopIssuing() {
        issuing = false;
    }

    /** Ends {@link #stopIssuing}. */
    public void resumeIssuing() {
        issuing = true;
    }

    /** Returns the number of tickets kept. */
    public int size() {
        return entries.size();
    }

    /** Returns the size of the stored answers, in bytes. */
    public long storedBytes() {
        return storedBytes;
    }

    /** Returns the milliseconds until the oldest entry is likely to be removed; 0 if that cannot be predicted. */
    private long millisecondsUntilSpace(long now) {
        long nanoseconds;
        if (!endedInOrder.isEmpty()) {
            nanoseconds = keptForNanos - (now - endedInOrder.peek().endedAt);
        } else if (!issuedInOrder.isEmpty()) {
            nanoseconds = useWithinNanos + keptForNanos - (now - issuedInOrder.peek().issuedAt);
        } else {
            return 0;
        }
        return Math.max(1, TimeUnit.NANOSECONDS.toMillis(nanoseconds));
    }

    private String unusedNonce() {
        String nonce;
        do {
            nonce = HEXADECIMAL.toHexDigits(random.nextLong()) + HEXADECIMAL.toHexDigits(random.nextLong());
        } while (entries.containsKey(nonce));
        return nonce;
    }

    private TicketEntry findEntry(String text) {
        return Ticket.parse(text)
                .filter(ticket -> ticket.incarnation() == incarnation)
                .map(ticket -> entries.get(ticket.nonce()))
                .orElse(null);
    }

    private TicketEntry requireEntry(String text) {
        TicketEntry entry = findEntry(text);
        if (entry == null) {
            throw new IllegalArgumentException("node " + node + " has no entry for ticket " + text);
        }
        return entry;
    }

    private static void requireStarted(TicketEntry entry) {
        if (entry.state == State.ISSUED || entry.state == State.VOID) {
            throw new IllegalStateException("a request that is " + entry.state + " cannot have an outcome");
        }
    }

    /** Enters an end state; the time of the first end counts for expiry. */
    private void end(TicketEntry entry, State state, long now) {
        if (!entry.ended()) {
            entry.endedAt = now;
            endedInOrder.add(entry);
        }
        entry.state = state;
    }

    /** Stores an answer and evicts the oldest ones over the limit; repeats arrive soon after the first delivery. */
    private void store(TicketEntry entry, Outcome outcome) {
        if (outcome.size() > STORED_BYTES_LIMIT) {
            return;
        }
        entry.outcome = outcome;
        storedInOrder.add(entry);
        storedBytes += outcome.size();
        while (storedBytes > STORED_BYTES_LIMIT) {
            evictAnswer(storedInOrder.remove());
        }
    }

    private void evictAnswer(TicketEntry entry) {
        if (entry.outcome != null) {
            storedBytes -= entry.outcome.size();
            entry.outcome = null;
        }
    }

    private boolean withinUseTime(TicketEntry entry, long now) {
        return now - entry.issuedAt <= useWithinNanos;
    }

    private boolean expired(TicketEntry entry, long now) {
        return entry.ended() && now - entry.endedAt > keptForNanos;
    }

    /** Expires a bounded number of due entries, oldest first. */
    private void expire(long now) {
        for (int i = 0; i < EXPIRED_PER_CALL; i++) {
            boolean voided = voidOldestUnused(now);
            boolean removed = removeOldestEnded(now);
            if (!voided && !removed) {
                return;
            }
        }
    }

    private boolean voidOldestUnused(long now) {
        TicketEntry oldest = issuedInOrder.peek();
        if (oldest == null || (oldest.state == State.ISSUED && withinUseTime(oldest, now))) {
            return false;
        }
        issuedInOrder.remove();
        if (oldest.state == State.ISSUED) {
            end(oldest, State.VOID, now);
        }
        return true;
    }

    private boolean removeOldestEnded(long now) {
        TicketEntry oldest = endedInOrder.peek();
        if (oldest == null || !expired(oldest, now)) {
            return false;
        }
        endedInOrder.remove();
        entries.remove(oldest.nonce);
        evictAnswer(oldest);
        while (!storedInOrder.isEmpty() && storedInOrder.peek().outcome == null) {
            storedInOrder.remove();
        }
        return true;
    }
}
