package org.plantainshunt.replay;

import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.plantainshunt.configuration.PriorityClass;

/**
 * Counts the outcomes of the calls of a trace, by priority class and second of arrival.
 *
 * <p>Confined to one thread while it counts; safe for use by any thread afterwards.
 */
public final class Outcomes {
    private static final long MICROSECONDS_PER_SECOND = 1_000_000L;
    private static final int ADMIT_ALL_LEVEL = 512;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final SortedMap<Integer, Map<PriorityClass, Tally>> seconds = new TreeMap<>();
    private final Histogram queueDelay = new Histogram(SIGNIFICANT_DIGITS);
    private int lowestLevel = Integer.MAX_VALUE;
    private long lastReducedLevelTime = -1;

    Outcomes() {}

    /** Returns the outcomes that the node recorded; the admission level is not recorded. */
    public static Outcomes recorded(Trace trace) {
        Outcomes outcomes = new Outcomes();
        for (RecordedCall call : trace.calls()) {
            TraceEvent.Arrival arrival = call.arrival();
            outcomes.tally(arrival).offered();
            call.handover().ifPresent(handover -> outcomes.started(arrival, handover.time()));
            call.refused().ifPresent(event -> outcomes.tally(arrival).refused(event.code(), event.time()));
            if (call.answeredInTime()) {
                outcomes.tally(arrival).answered();
            }
        }
        return outcomes;
    }

    /** Returns the seconds in which calls arrived, in order, counted from 0 at the start of the trace. */
    public Set<Integer> seconds() {
        return seconds.keySet();
    }

    /** Returns the tally of a class in one of {@link #seconds}. */
    public Tally tally(int second, PriorityClass priorityClass) {
        return seconds.get(second).get(priorityClass);
    }

    /** Returns a percentile of the time from arrival to hand-over, in microseconds; 0 if no call was handed over. */
    public long queueDelay(double percent) {
        return queueDelay.getTotalCount() == 0 ? 0 : queueDelay.getValueAtPercentile(percent);
    }

    /** Returns the lowest admission level, if known. */
    public OptionalInt lowestLevel() {
        return lowestLevel == Integer.MAX_VALUE ? OptionalInt.empty() : OptionalInt.of(lowestLevel);
    }

    /** Returns when the admission level was last seen below 512, in microseconds; empty if it never was. */
    public OptionalLong lastReducedLevelTime() {
        return lastReducedLevelTime < 0 ? OptionalLong.empty() : OptionalLong.of(lastReducedLevelTime);
    }

    Tally tally(TraceEvent.Arrival arrival) {
        int second = (int) (arrival.time() / MICROSECONDS_PER_SECOND);
        return seconds.computeIfAbsent(second, unused -> emptyTallies()).get(arrival.priorityClass());
    }

    private static Map<PriorityClass, Tally> emptyTallies() {
        Map<PriorityClass, Tally> tallies = new EnumMap<>(PriorityClass.class);
        for (PriorityClass priorityClass : PriorityClass.values()) {
            tallies.put(priorityClass, new Tally());
        }
        return tallies;
    }

    void started(TraceEvent.Arrival arrival, long time) {
        tally(arrival).started();
        queueDelay.recordValue(Math.max(0, time - arrival.time()));
    }

    void recordLevel(int level, long time) {
        lowestLevel = Math.min(lowestLevel, level);
        if (level < ADMIT_ALL_LEVEL) {
            lastReducedLevelTime = time;
        }
    }
}
