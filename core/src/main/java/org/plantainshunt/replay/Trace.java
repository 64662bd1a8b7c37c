package org.plantainshunt.replay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

import org.plantainshunt.admission.CallEnd;
import org.plantainshunt.admission.Priority;

/**
 * The calls and limits that one node recorded.
 *
 * <p>Lines of a call whose arrival was dropped are left out and counted. Immutable after {@link #of}, and then safe for
 * use by any thread.
 */
public final class Trace {
    /** Ten days, in microseconds; a longer time indicates a corrupt file and would take minutes to replay. */
    private static final long MAX_TIME = 10L * 24 * 3600 * 1_000_000;

    private final TraceEvent.Header header;
    private final Map<String, RecordedCall> calls = new LinkedHashMap<>();
    private final List<TraceEvent.LimitsChanged> changes = new ArrayList<>();
    private long droppedLines;
    private long strayLines;
    private boolean full;

    private Trace(TraceEvent.Header header) {
        this.header = header;
    }

    /**
     * Builds a trace from its events, in the order in which they were written.
     *
     * @throws InvalidTraceException if there is not exactly one header, at the start; if the format has another
     *     version; or if limits, or a time or priority that the replay depends on, are missing or out of range
     */
    public static Trace of(List<TraceEvent> events) throws InvalidTraceException {
        if (events.isEmpty() || !(events.get(0) instanceof TraceEvent.Header header)) {
            throw new InvalidTraceException("the first line is not a header");
        }
        if (header.version() != TraceEvent.VERSION) {
            throw new InvalidTraceException(
                    "the format has version " + header.version() + "; this tool reads " + TraceEvent.VERSION);
        }
        checkLimits(header.limits());
        Trace trace = new Trace(header);
        for (TraceEvent event : events.subList(1, events.size())) {
            trace.add(event);
        }
        return trace;
    }

    /** Returns the first line. */
    public TraceEvent.Header header() {
        return header;
    }

    /** Returns the number of lines that the node could not write. */
    public long droppedLines() {
        return droppedLines;
    }

    /** Returns the number of lines about calls whose arrival is not in the trace. */
    public long strayLines() {
        return strayLines;
    }

    /** Returns whether recording stopped because the file had reached its size limit. */
    public boolean full() {
        return full;
    }

    /** Returns the number of calls that never ran, were cancelled while they ran, or whose end is not in the trace. */
    public long callsNotRunToEnd() {
        return calls.values().stream().filter(call -> !call.ranToEnd()).count();
    }

    Iterable<RecordedCall> calls() {
        return calls.values();
    }

    List<TraceEvent.LimitsChanged> changes() {
        return changes;
    }

    /** Returns the median run time of the answered calls of each kind, in microseconds; other kinds are absent. */
    Map<String, Long> medianRunTimes() {
        Map<String, List<Long>> byKind = new HashMap<>();
        for (RecordedCall call : calls.values()) {
            call.end().filter(end -> end.how() == CallEnd.ANSWERED).ifPresent(end -> byKind.computeIfAbsent(
                            call.arrival().kind(), unused -> new ArrayList<>())
                    .add(end.runTime()));
        }
        Map<String, Long> medians = new HashMap<>();
        byKind.forEach((kind, times) -> {
            long[] sorted = times.stream().mapToLong(Long::longValue).toArray();
            Arrays.sort(sorted);
            medians.put(kind, sorted[sorted.length / 2]);
        });
        return medians;
    }

    private void add(TraceEvent event) throws InvalidTraceException {
        if (event instanceof TraceEvent.Arrival arrival) {
            checkArrival(arrival);
            calls.put(arrival.call(), new RecordedCall(arrival));
        } else if (event instanceof TraceEvent.Handover handover) {
            update(handover.call(), call -> call.with(handover));
        } else if (event instanceof TraceEvent.End end) {
            checkRange(end.runTime(), end);
            update(end.call(), call -> call.with(end));
        } else if (event instanceof TraceEvent.Refused refused) {
            checkRange(refused.time(), refused);
            update(refused.call(), call -> call.with(refused));
        } else if (event instanceof TraceEvent.LimitsChanged change) {
            checkLimits(change.limits());
            checkRange(change.time(), change);
            changes.add(change);
        } else if (event instanceof TraceEvent.Dropped dropped) {
            droppedLines += dropped.lines();
        } else if (event instanceof TraceEvent.Full) {
            full = true;
        } else {
            throw new InvalidTraceException("there is a second header");
        }
    }

    private void update(String id, UnaryOperator<RecordedCall> change) {
        RecordedCall call = calls.get(id);
        if (call == null) {
            strayLines++;
            return;
        }
        calls.put(id, change.apply(call));
    }

    private static void checkLimits(TraceEvent.Limits limits) throws InvalidTraceException {
        if (limits == null
                || limits.slots() < 1
                || limits.queue() < 0
                || limits.targetQueueDelay() < 1
                || limits.targetQueueDelay() > MAX_TIME) {
            throw new InvalidTraceException("the limits are missing or out of range: " + limits);
        }
    }

    private static void checkArrival(TraceEvent.Arrival arrival) throws InvalidTraceException {
        if (arrival.call() == null || arrival.kind() == null || arrival.priorityClass() == null) {
            throw new InvalidTraceException("an arrival has no call, kind or class: " + arrival);
        }
        if (arrival.cohort() < 0 || arrival.cohort() >= Priority.COHORTS) {
            throw new InvalidTraceException("the cohort of an arrival is out of range: " + arrival);
        }
        checkRange(arrival.time(), arrival);
        checkRange(Math.abs(Math.round(arrival.deadlineLeft())), arrival);
    }

    /** Rejects negative and overlong times, which would turn the virtual clock back or overflow it. */
    private static void checkRange(long time, TraceEvent event) throws InvalidTraceException {
        if (time < 0 || time > MAX_TIME) {
            throw new InvalidTraceException("a time is out of range: " + event);
        }
    }
}
