package org.plantainshunt.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.plantainshunt.configuration.Service;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;

/**
 * Decides which calls the backend server of this node runs, in which order, and which calls are refused.
 *
 * <p>Invariants: at most {@link #limit} calls run, except while calls that started under a higher limit end. No call is
 * refused for lack of space while a less important one waits; within a class, calls that continue a request are the
 * most important, and they are not refused for their priority. A slot is given only to a call whose deadline has not
 * passed. A call is refused for its priority only while the slots are full and the queue holds the target delay's worth
 * of work. A call holds its slot until it is finished; {@link #callsToGiveUp} bounds that time.
 *
 * <p>All times are nanoseconds of one monotonic clock. Confined to one thread; the consumer of refusals must not call
 * back into the queue.
 *
 * <pre>
 * if (queue.offer(entry, now) == Admission.START) {
 *     handOver(entry);
 * }
 * ...
 * queue.finished(entry, CallEnd.ANSWERED, now);
 * queue.startable(now).forEach(this::handOver);
 * queue.callsToCancel(now).forEach(this::cancel);
 * </pre>
 */
public final class AdmissionQueue {
    private final Consumer<Refused> onRefused;
    private final WaitingCalls waiting = new WaitingCalls();
    private final ServiceTimes times = new ServiceTimes();
    private final LongWork longWork = new LongWork(times);
    private final OverdueCalls overdue = new OverdueCalls();
    private final AdmissionLevel level = new AdmissionLevel();
    private final ConcurrencyLimit limit;
    private final RetryAfter retryAfter = new RetryAfter(level);
    private Service service;
    private long targetDelay;
    private long nextSequence;
    private int running;
    private Optional<ResultCode> closedBecause = Optional.empty();

    /**
     * A call that is refused, and why.
     *
     * @param entry the call
     * @param refusal the reason; its run state is always "not run"
     */
    public record Refused(CallEntry entry, Refusal refusal) {}

    /**
     * Creates an empty queue that admits calls.
     *
     * @param service the limits
     * @param onRefused receives each refused call once, both those refused by {@link #offer} and those that waited
     */
    public AdmissionQueue(Service service, Consumer<Refused> onRefused) {
        this.onRefused = onRefused;
        this.limit = new ConcurrencyLimit(service.slots());
        applyLimits(service);
    }

    /**
     * Decides on a call that has arrived.
     *
     * @return REFUSE after the consumer has received the reason
     * @throws IllegalArgumentException if the entry was offered before
     */
    public Admission offer(CallEntry entry, long now) {
        if (entry.state != CallEntry.State.NEW) {
            throw new IllegalArgumentException("offered twice: " + entry);
        }
        updateState(now);
        entry.sequence = nextSequence++;
        if (closedBecause.isPresent()) {
            return refuse(entry, closedRefusal(entry));
        }
        level.offered(entry.priority());
        if (expired(entry, now)) {
            return refuse(entry, Refusal.of(ResultCode.DEADLINE_TOO_SHORT, "the deadline had passed on arrival"));
        }
        if (running + waiting.size() < limit.current()) {
            start(entry, now);
            return Admission.START;
        }
        if (cannotMeetDeadline(entry, now)) {
            return refuse(entry, deadlineTooShort(entry));
        }
        return enqueue(entry, now);
    }

    private Admission enqueue(CallEntry entry, long now) {
        entry.waitingSince = now;
        entry.latestStart = latestStart(entry, now);
        boolean full = queued() >= service.queue();
        boolean shed =
                !entry.continues() && entry.priority().value() >= level.level() && queued() >= targetQueueLength();
        waiting.add(entry);
        if (full || shed) {
            evict(full ? "the queue is full" : "the admission level is " + level.level());
        }
        return entry.state == CallEntry.State.ENDED ? Admission.REFUSE : Admission.WAIT;
    }

    /**
     * Frees the slot of a call; follow it with {@link #startable}.
     *
     * <p>Ending the same call again has no effect, so that a cancellation and a late answer do not free two slots.
     */
    public void finished(CallEntry entry, CallEnd end, long now) {
        if (entry.state != CallEntry.State.RUNNING) {
            return;
        }
        updateState(now);
        recordServiceTime(entry, end, now);
        limit.ended(entry, end, running, now);
        if (end != CallEnd.SHED_BY_BACKEND_SERVER) {
            level.ended();
        }
        longWork.ended(entry);
        overdue.ended(entry);
        running--;
        entry.state = CallEntry.State.ENDED;
        evictExcess("the backend server sheds");
    }

    /** Returns the calls to start now, which hold slots from now on; refuses those that cannot meet their deadlines. */
    public List<CallEntry> startable(long now) {
        updateState(now);
        if (waiting.isEmpty() || running >= limit.current()) {
            return List.of();
        }
        List<CallEntry> started = new ArrayList<>();
        while (running < limit.current() && !waiting.isEmpty()) {
            CallEntry entry = waiting.next(now);
            waiting.remove(entry);
            if (cannotMeetDeadline(entry, now)) {
                level.lost(entry.priority());
                refuse(entry, deadlineTooShort(entry));
            } else {
                start(entry, now);
                started.add(entry);
            }
        }
        return started;
    }

    /** Removes a waiting call without reporting a refusal, and returns whether the call was waiting. */
    public boolean cancel(CallEntry entry, long now) {
        updateState(now);
        if (entry.state != CallEntry.State.WAITING) {
            return false;
        }
        waiting.remove(entry);
        entry.state = CallEntry.State.ENDED;
        return true;
    }

    /**
     * Returns the running calls to cancel now, because long calls hold more than their share of the slots while others
     * wait.
     *
     * <p>Each call is returned once; it holds its slot until {@link #finished}. Calls that run at most once are never
     * returned.
     */
    public List<CallEntry> callsToCancel(long now) {
        updateState(now);
        longWork.update(service.longWorkAfter(), now);
        if (waiting.isEmpty()) {
            return List.of();
        }
        return longWork.toCancel((int) (service.longWorkShare() * limit.current()));
    }

    /**
     * Returns the running calls whose outcome is no longer waited for, because their deadline passed long ago: the
     * connection to the backend server may be dead, or the answer may have no end.
     *
     * <p>Each call is returned once; it holds its slot until {@link #finished}.
     */
    public List<CallEntry> callsToGiveUp(long now) {
        return overdue.toGiveUp(now);
    }

    /** Returns the admission level, 1 to 512: the number of priority values that entry nodes may send. */
    public int level() {
        return level.level();
    }

    /** Returns the number of calls that hold slots. */
    public int running() {
        return running;
    }

    /** Returns the number of calls that wait. */
    public int waiting() {
        return waiting.size();
    }

    /** Returns the number of calls that may run at a time. */
    public int limit() {
        return limit.current();
    }

    /** Refuses the waiting calls and all further ones with {@link ResultCode#DRAINING}; running calls go on. */
    public void drain() {
        close(ResultCode.DRAINING);
    }

    /**
     * Refuses the waiting calls and all further ones with {@link ResultCode#CONNECT_FAILED}, because the backend server
     * is no longer listed; running calls go on. Unlike a drain, this says nothing about the node.
     */
    public void unlist() {
        close(ResultCode.CONNECT_FAILED);
    }

    /** Ends {@link #drain} and {@link #unlist}. */
    public void reopen() {
        closedBecause = Optional.empty();
    }

    private void close(ResultCode code) {
        closedBecause = Optional.of(code);
        while (!waiting.isEmpty()) {
            CallEntry entry = waiting.leastImportant();
            waiting.remove(entry);
            refuse(entry, closedRefusal(entry));
        }
    }

    /** Applies new limits; running calls go on, and waiting calls over the new queue length are refused. */
    public void configure(Service newService) {
        applyLimits(newService);
        limit.configure(newService.slots());
        evictExcess("the queue was made shorter");
    }

    private void applyLimits(Service newService) {
        service = newService;
        targetDelay = newService.targetQueueDelay().toNanos();
    }

    private void updateState(long now) {
        level.slotsUsed(running, limit.current(), now);
        refuseLate(now);
        waiting.observe(now, targetDelay);
        if (level.due(now)) {
            level.update(priorityClass -> waiting.overloaded(priorityClass, now), now);
        }
    }

    /** Refuses the waiting calls that can no longer meet their deadlines, so that they take no space in the queue. */
    private void refuseLate(long now) {
        while (!waiting.isEmpty() && now - waiting.mostUrgent().latestStart >= 0) {
            CallEntry entry = waiting.mostUrgent();
            waiting.remove(entry);
            if (cannotMeetDeadline(entry, now)) {
                level.lost(entry.priority());
                refuse(entry, deadlineTooShort(entry));
            } else {
                entry.latestStart = latestStart(entry, now);
                waiting.add(entry);
            }
        }
    }

    private long latestStart(CallEntry entry, long now) {
        return entry.deadline() - times.lowPercentile(entry.kind(), now);
    }

    private static boolean expired(CallEntry entry, long now) {
        return now - entry.deadline() >= 0;
    }

    /** Returns whether the deadline has passed or is too close for most calls of this kind. */
    private boolean cannotMeetDeadline(CallEntry entry, long now) {
        return now - latestStart(entry, now) >= 0;
    }

    /** Returns the number of waiting calls for which no slot is free. */
    private int queued() {
        return waiting.size() - Math.max(0, limit.current() - running);
    }

    /** Returns the queue length that amounts to the target delay, more than a quarter of the slots in any case. */
    private int targetQueueLength() {
        double callsInTargetDelay = level.capacityPerSecond() * targetDelay / 1e9;
        return (int) Math.max(callsInTargetDelay, 1 + limit.current() / 4);
    }

    private void start(CallEntry entry, long now) {
        running++;
        entry.start(now, running >= service.slots());
        limit.started(entry, running, now);
        longWork.started(entry, service.longWorkAfter(), now);
        overdue.started(entry);
    }

    /**
     * Samples answered calls, and cancelled ones that ran over the median: their run time is a lower bound. Long calls
     * were sampled when they became long.
     */
    private void recordServiceTime(CallEntry entry, CallEnd end, long now) {
        long duration = now - entry.startedAt();
        boolean lowerBound = end == CallEnd.CANCELLED && duration > times.median(entry.kind());
        if (!entry.isLong && (end == CallEnd.ANSWERED || lowerBound)) {
            times.add(entry.kind(), duration, now);
        }
    }

    /** Evicts the calls over the queue limit after the concurrency limit or the queue limit was lowered. */
    private void evictExcess(String reason) {
        while (queued() > service.queue()) {
            evict(reason);
        }
    }

    private void evict(String reason) {
        CallEntry entry = waiting.leastImportant();
        waiting.remove(entry);
        level.lost(entry.priority());
        String detail = reason + "; " + waiting.size() + " calls wait for " + limit.current() + " slots";
        refuse(entry, new Refusal(ResultCode.OVERLOADED, detail, retryAfter.whenOverloaded(entry, waiting.size())));
    }

    private Refusal closedRefusal(CallEntry entry) {
        ResultCode code = closedBecause.orElseThrow();
        String detail = code == ResultCode.DRAINING
                ? "the backend server is leaving"
                : "the backend server is no longer listed";
        return new Refusal(code, detail, retryAfter.forOtherBackendServer(entry));
    }

    private static Refusal deadlineTooShort(CallEntry entry) {
        return Refusal.of(
                ResultCode.DEADLINE_TOO_SHORT,
                "the time left is less than nine in ten calls of " + entry.kind() + " take");
    }

    private Admission refuse(CallEntry entry, Refusal refusal) {
        entry.state = CallEntry.State.ENDED;
        onRefused.accept(new Refused(entry, refusal));
        return Admission.REFUSE;
    }
}
