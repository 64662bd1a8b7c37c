package org.plantainshunt.admission;

import java.util.Comparator;
import java.util.TreeSet;

import org.plantainshunt.configuration.PriorityClass;

/**
 * The calls that wait for a slot, ordered by arrival, by importance and by latest start.
 *
 * <p>Each operation takes time logarithmic in the number of waiting calls. A class has a standing delay once its oldest
 * call has waited longer than the target for 100 ms without interruption; its calls are then started newest first,
 * because callers are the most likely to have abandoned the oldest. Calls that continue a request come before others of
 * their class, oldest first. Confined to one thread.
 */
final class WaitingCalls {
    /** Longer than the delay of a single burst, in nanoseconds. */
    static final long STANDING_AFTER = 100_000_000L;

    /**
     * The duration of a standing delay, in nanoseconds, after which entry nodes refuse important work.
     *
     * <p>Important work that needs 90 % of a dozen slots occasionally exceeds a target shorter than its service time
     * for some 100 ms by chance; refusing it then loses a tenth of the work although it fits the capacity.
     */
    static final long IMPORTANT_OVERLOADED_AFTER = 1_000_000_000L;

    private static final int CLASSES = PriorityClass.values().length;
    private static final Comparator<CallEntry> BY_ARRIVAL = Comparator.comparingLong(entry -> entry.sequence);
    private static final Comparator<CallEntry> BY_IMPORTANCE = Comparator.<CallEntry>comparingInt(
                    entry -> entry.priority().priorityClass().ordinal())
            .thenComparing(entry -> !entry.continues())
            .thenComparing(CallEntry::priority)
            .thenComparing(BY_ARRIVAL);
    private static final Comparator<CallEntry> BY_LATEST_START = new LatestStartOrder().thenComparing(BY_ARRIVAL);

    private final ClassQueue[] classes = new ClassQueue[CLASSES];
    private final TreeSet<CallEntry> byImportance = new TreeSet<>(BY_IMPORTANCE);
    private final TreeSet<CallEntry> byLatestStart = new TreeSet<>(BY_LATEST_START);

    /** Compares by difference, because the origin of the clock is arbitrary and its values may wrap around. */
    private static final class LatestStartOrder implements Comparator<CallEntry> {
        @Override
        public int compare(CallEntry first, CallEntry second) {
            return Long.signum(first.latestStart - second.latestStart);
        }
    }

    /** The waiting calls of one class, and since when the oldest has waited longer than the target. */
    private static final class ClassQueue {
        private final TreeSet<CallEntry> calls = new TreeSet<>(BY_ARRIVAL);
        private final TreeSet<CallEntry> continuing = new TreeSet<>(BY_ARRIVAL);
        private boolean overTarget;
        private long overTargetSince;

        /** Calls that continue a request come first, so that the work done for it is not lost. */
        private CallEntry next(long now) {
            if (!continuing.isEmpty()) {
                return continuing.first();
            }
            return overTargetFor(STANDING_AFTER, now) ? calls.last() : calls.first();
        }

        private void observe(long now, long target) {
            boolean overNow = !calls.isEmpty() && now - calls.first().waitingSince > target;
            if (overNow && !overTarget) {
                overTargetSince = calls.first().waitingSince + target;
            }
            overTarget = overNow;
        }

        private boolean overTargetFor(long duration, long now) {
            return overTarget && now - overTargetSince >= duration;
        }
    }

    WaitingCalls() {
        for (int i = 0; i < CLASSES; i++) {
            classes[i] = new ClassQueue();
        }
    }

    /** Adds a call; the fields sequence, waitingSince and latestStart must not change while it waits. */
    void add(CallEntry entry) {
        entry.state = CallEntry.State.WAITING;
        classOf(entry).calls.add(entry);
        if (entry.continues()) {
            classOf(entry).continuing.add(entry);
        }
        byImportance.add(entry);
        byLatestStart.add(entry);
    }

    void remove(CallEntry entry) {
        classOf(entry).calls.remove(entry);
        classOf(entry).continuing.remove(entry);
        byImportance.remove(entry);
        byLatestStart.remove(entry);
    }

    int size() {
        return byImportance.size();
    }

    boolean isEmpty() {
        return byImportance.isEmpty();
    }

    /** Returns the call to start next; the queue must not be empty. */
    CallEntry next(long now) {
        for (ClassQueue queue : classes) {
            if (!queue.calls.isEmpty()) {
                return queue.next(now);
            }
        }
        throw new IllegalStateException("no call waits");
    }

    /** Returns the newest call of the least important priority; the queue must not be empty. */
    CallEntry leastImportant() {
        return byImportance.last();
    }

    /** Returns the call that must start first to meet its deadline; the queue must not be empty. */
    CallEntry mostUrgent() {
        return byLatestStart.first();
    }

    /** Updates which classes exceed the target delay; called before each decision. */
    void observe(long now, long target) {
        for (ClassQueue queue : classes) {
            queue.observe(now, target);
        }
    }

    /** Returns whether the delay of a class requires a lower admission level. */
    boolean overloaded(PriorityClass priorityClass, long now) {
        boolean important = priorityClass.compareTo(PriorityClass.IMPORTANT) <= 0;
        return classes[priorityClass.ordinal()].overTargetFor(
                important ? IMPORTANT_OVERLOADED_AFTER : STANDING_AFTER, now);
    }

    private ClassQueue classOf(CallEntry entry) {
        return classes[entry.priority().priorityClass().ordinal()];
    }
}
