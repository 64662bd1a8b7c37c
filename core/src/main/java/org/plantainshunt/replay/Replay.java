package org.plantainshunt.replay;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;

import org.plantainshunt.admission.Admission;
import org.plantainshunt.admission.AdmissionQueue;
import org.plantainshunt.admission.CallEnd;
import org.plantainshunt.admission.CallEntry;
import org.plantainshunt.admission.Priority;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.result.ResultCode;

/**
 * Feeds the arrivals of a trace to a fresh admission queue on a virtual clock.
 *
 * <p>A started call runs for its recorded run time, or for the median of its kind in the trace if it never ran. For a
 * call that was cancelled while it ran, the recorded run time is only a lower bound, so it runs for the longer of that
 * and the median, and is answered if its deadline allows. Kinds that were never answered take the median of the other
 * kinds' medians. A repeatable call is cancelled at its deadline, as a node does, and then frees its slot; a call that
 * runs at most once holds its slot to the end. A call that was recorded as cancelled by its caller is cancelled at the
 * same time, unless it runs at most once and has started. Calls that entry nodes held back are not in the trace, so the
 * replay does not show how entry nodes would react to another admission level. A drain is not replayed.
 *
 * <p>Confined to one thread. The same trace always yields the same outcomes.
 */
public final class Replay {
    private static final long NANOSECONDS_PER_MICROSECOND = 1000;
    /**
     * The interval between two checks of the queue, in microseconds; the same as in a node with the default adapters. A
     * node on the platform checks less often.
     */
    private static final long TICK_INTERVAL = 10_000;
    /** How long the admission level is tracked after the last arrival, in microseconds. */
    private static final long FOLLOW_UP = 1_000_000;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::order));
    private final Map<CallEntry, OpenCall> openCalls = new HashMap<>();
    private final Outcomes outcomes = new Outcomes();
    private final Map<String, Long> medians;
    private final long fallbackRunTime;
    private final AdmissionQueue queue;
    private final long ticksUntil;
    private long order;
    private long now;

    private Replay(Trace trace, OptionalInt slots) {
        medians = trace.medianRunTimes();
        fallbackRunTime = medians.values().stream()
                .sorted()
                .skip(medians.size() / 2)
                .findFirst()
                .orElse(0L);
        queue = new AdmissionQueue(service(trace, trace.header().limits(), slots), this::onRefused);
        long lastArrival = 0;
        for (RecordedCall call : trace.calls()) {
            lastArrival = Math.max(lastArrival, call.arrival().time());
            schedule(call.arrival().time(), () -> arrive(call));
        }
        for (TraceEvent.LimitsChanged change : trace.changes()) {
            schedule(change.time(), () -> {
                queue.configure(service(trace, change.limits(), slots));
                startReady();
            });
        }
        ticksUntil = lastArrival + FOLLOW_UP;
        schedule(0, this::tick);
    }

    /** An action at a time in microseconds; actions of the same time run in the order of their scheduling. */
    private record Event(long time, long order, Runnable action) {}

    /**
     * Replays a trace.
     *
     * @param slots the number of slots in place of the recorded one, if present
     */
    public static Outcomes run(Trace trace, OptionalInt slots) {
        Replay replay = new Replay(trace, slots);
        while (!replay.events.isEmpty()) {
            Event event = replay.events.remove();
            replay.now = event.time();
            event.action().run();
        }
        return replay.outcomes;
    }

    private static Service service(Trace trace, TraceEvent.Limits limits, OptionalInt slots) {
        return limits.withSlots(slots.orElse(limits.slots()))
                .service(trace.header().service());
    }

    private void schedule(long time, Runnable action) {
        events.add(new Event(time, order++, action));
    }

    private long nanoseconds() {
        return now * NANOSECONDS_PER_MICROSECOND;
    }

    private void arrive(RecordedCall call) {
        TraceEvent.Arrival arrival = call.arrival();
        outcomes.tally(arrival).offered();
        CallEntry entry = new CallEntry(
                arrival.call(),
                Priority.of(arrival.priorityClass(), arrival.cohort()),
                arrival.continues(),
                arrival.kind(),
                arrival.atMostOnce(),
                arrival.deadline() * NANOSECONDS_PER_MICROSECOND,
                nanoseconds());
        openCalls.put(entry, new OpenCall(call));
        if (queue.offer(entry, nanoseconds()) == Admission.START) {
            start(entry);
        }
        call.refused()
                .filter(refused -> cancelledByCaller(refused.code()))
                .ifPresent(refused -> schedule(Math.max(now, refused.time()), () -> cancel(entry)));
        startReady();
    }

    private static boolean cancelledByCaller(int code) {
        return code == ResultCode.CANCELLED_BEFORE_RUN.number() || code == ResultCode.CANCELLED_RUNNING.number();
    }

    private void cancel(CallEntry entry) {
        if (queue.cancel(entry, nanoseconds())) {
            openCalls.remove(entry).refuse(ResultCode.CANCELLED_BEFORE_RUN.number());
        } else if (openCalls.containsKey(entry) && !entry.atMostOnce()) {
            openCalls.get(entry).refuse(ResultCode.CANCELLED_RUNNING.number());
            end(entry, CallEnd.CANCELLED);
        }
    }

    private void startReady() {
        queue.startable(nanoseconds()).forEach(this::start);
        outcomes.recordLevel(queue.level(), now);
    }

    private void start(CallEntry entry) {
        OpenCall call = openCalls.get(entry);
        TraceEvent.Arrival arrival = call.recorded.arrival();
        outcomes.started(arrival, now);
        CallEnd how =
                call.recorded.ranToEnd() ? call.recorded.end().orElseThrow().how() : CallEnd.ANSWERED;
        long end = now + runTime(call.recorded);
        if (end <= arrival.deadline()) {
            schedule(end, () -> end(entry, how));
            return;
        }
        schedule(arrival.deadline(), () -> deadlinePassed(entry));
        if (arrival.atMostOnce()) {
            schedule(end, () -> end(entry, how));
        }
    }

    private long runTime(RecordedCall call) {
        long recorded = call.end().map(TraceEvent.End::runTime).orElse(0L);
        return call.ranToEnd()
                ? recorded
                : Math.max(recorded, medians.getOrDefault(call.arrival().kind(), fallbackRunTime));
    }

    private void deadlinePassed(CallEntry entry) {
        OpenCall call = openCalls.get(entry);
        if (call == null) {
            return;
        }
        call.refuse(ResultCode.DEADLINE_PASSED_AFTER_HANDOVER.number());
        if (!entry.atMostOnce()) {
            end(entry, CallEnd.CANCELLED);
        }
    }

    private void end(CallEntry entry, CallEnd how) {
        OpenCall call = openCalls.remove(entry);
        if (call == null) {
            return;
        }
        queue.finished(entry, how, nanoseconds());
        if (how == CallEnd.ANSWERED) {
            call.answer();
        } else {
            call.recorded.refused().ifPresent(refused -> call.refuse(refused.code()));
        }
        startReady();
    }

    private void onRefused(AdmissionQueue.Refused refused) {
        openCalls.remove(refused.entry()).refuse(refused.refusal().code().number());
    }

    private void tick() {
        startReady();
        for (CallEntry entry : queue.callsToCancel(nanoseconds())) {
            openCalls.get(entry).refuse(ResultCode.RAN_TOO_LONG.number());
            end(entry, CallEnd.CANCELLED);
        }
        if (now < ticksUntil) {
            schedule(now + TICK_INTERVAL, this::tick);
        }
    }

    /** A call from its arrival until its slot is free; only the first reply is counted. */
    private final class OpenCall {
        private final RecordedCall recorded;
        private boolean replied;

        OpenCall(RecordedCall recorded) {
            this.recorded = recorded;
        }

        private void refuse(int code) {
            if (!replied) {
                replied = true;
                outcomes.tally(recorded.arrival()).refused(code, now);
            }
        }

        private void answer() {
            if (!replied) {
                replied = true;
                outcomes.tally(recorded.arrival()).answered();
            }
        }
    }
}
