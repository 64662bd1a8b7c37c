package org.plantainshunt.admission;

/**
 * A call and its state in one {@link AdmissionQueue}.
 *
 * <p>All times are nanoseconds of the monotonic clock of this node. An entry is offered to one queue, once. Confined to
 * the thread of that queue.
 */
public final class CallEntry {
    /** The state of the call; it only advances. */
    enum State {
        NEW,
        WAITING,
        RUNNING,
        ENDED
    }

    private final String id;
    private final Priority priority;
    private final boolean continues;
    private final String kind;
    private final boolean atMostOnce;
    private final long deadline;
    private final long arrivedAt;
    private long startedAt;
    private boolean fillsSlots;

    State state = State.NEW;
    /** Position in the order of offers; unique in the queue. */
    long sequence;
    /** When the call began to wait. */
    long waitingSince;
    /** The time after which the call cannot meet its deadline, by the last estimate of its service time. */
    long latestStart;
    /** When to check whether the running call has become long. */
    long longCheckAt;
    /** The period of the search for the saturation point in which the call started, or -1. */
    int saturationPeriod = -1;
    /** Whether the running call counts as long. */
    boolean isLong;
    /** Whether {@link AdmissionQueue#callsToCancel} has returned the call. */
    boolean cancelRequested;

    /** Creates an entry for the first call of a request. */
    public CallEntry(String id, Priority priority, String kind, boolean atMostOnce, long deadline, long arrivedAt) {
        this(id, priority, false, kind, atMostOnce, deadline, arrivedAt);
    }

    /**
     * Creates an entry for a call.
     *
     * @param id the id that the serving node gives the call; not the request id, which several calls can share
     * @param priority the priority of the request
     * @param continues whether an earlier call for the same request was answered
     * @param kind the kind of request, for which service times are measured
     * @param atMostOnce whether the call runs at most once, so that it must not be cancelled after its start
     * @param deadline when the complete answer is due, absolute, in nanoseconds
     * @param arrivedAt when the call arrived at this node, in nanoseconds
     */
    public CallEntry(
            String id,
            Priority priority,
            boolean continues,
            String kind,
            boolean atMostOnce,
            long deadline,
            long arrivedAt) {
        this.id = id;
        this.priority = priority;
        this.continues = continues;
        this.kind = kind;
        this.atMostOnce = atMostOnce;
        this.deadline = deadline;
        this.arrivedAt = arrivedAt;
    }

    /** Returns the id of the call at the serving node. */
    public String id() {
        return id;
    }

    /** Returns the priority. */
    public Priority priority() {
        return priority;
    }

    /** Returns whether an earlier call for the same request was answered, whose work a refusal would waste. */
    public boolean continues() {
        return continues;
    }

    /** Returns the kind of request. */
    public String kind() {
        return kind;
    }

    /** Returns whether the call runs at most once. */
    public boolean atMostOnce() {
        return atMostOnce;
    }

    /** Returns the absolute deadline, in nanoseconds. */
    public long deadline() {
        return deadline;
    }

    /** Returns when the call arrived at this node, in nanoseconds. */
    public long arrivedAt() {
        return arrivedAt;
    }

    /** Returns when the call got its slot, in nanoseconds; 0 before that. */
    public long startedAt() {
        return startedAt;
    }

    /** Returns whether the call took the last free slot of the backend server. */
    public boolean fillsSlots() {
        return fillsSlots;
    }

    void start(long now, boolean takesLastSlot) {
        state = State.RUNNING;
        startedAt = now;
        fillsSlots = takesLastSlot;
    }

    @Override
    public String toString() {
        return id + " " + priority + " " + kind + " " + state;
    }
}
