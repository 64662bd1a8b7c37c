package org.plantainshunt.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A discrete-event scheduler with a clock in virtual nanoseconds.
 *
 * <p>Events run in the order of their time and, at equal times, in the order in which they were added, so that a run is
 * exactly reproducible. Only the events of the current millisecond are in a heap. Later events are in a timing wheel
 * with one unsorted bucket per millisecond, because the many deadline timers would make a single heap large and slow.
 * Confined to one thread.
 */
final class VirtualClock {
    static final long MICROSECOND = 1_000L;
    static final long MILLISECOND = 1_000_000L;
    static final long SECOND = 1_000_000_000L;

    /** The number of one-millisecond buckets. They cover the deadlines of all kinds, which are at most 10 s. */
    private static final int WHEEL_SIZE = 1 << 14;

    private final PriorityQueue<Event> currentEvents = new PriorityQueue<>();
    private final List<List<Event>> wheel = new ArrayList<>(WHEEL_SIZE);
    private final PriorityQueue<Event> overflow = new PriorityQueue<>();
    private long currentMillisecond;
    private long now;
    private long sequence;

    private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    VirtualClock() {
        for (int index = 0; index < WHEEL_SIZE; index++) {
            wheel.add(new ArrayList<>());
        }
    }

    /** Returns the virtual time in nanoseconds since the start of the run. */
    long now() {
        return now;
    }

    /** Runs an action after a delay in nanoseconds; a negative delay counts as zero. */
    void schedule(long delay, Runnable action) {
        Event event = new Event(now + Math.max(0, delay), sequence++, action);
        long millisecondsAhead = event.time() / MILLISECOND - currentMillisecond;
        if (millisecondsAhead <= 0) {
            currentEvents.add(event);
        } else if (millisecondsAhead < WHEEL_SIZE) {
            bucket(event.time() / MILLISECOND).add(event);
        } else {
            overflow.add(event);
        }
    }

    /** Runs an action immediately and then repeatedly at a fixed interval in nanoseconds. */
    void scheduleEvery(long interval, Runnable action) {
        action.run();
        schedule(interval, () -> scheduleEvery(interval, action));
    }

    /** Runs all events up to and including this time, in nanoseconds, and sets the clock to it. */
    void runUntil(long end) {
        while (true) {
            while (!currentEvents.isEmpty() && currentEvents.peek().time() <= end) {
                Event event = currentEvents.poll();
                now = event.time();
                event.action().run();
            }
            if (currentMillisecond >= end / MILLISECOND) {
                break;
            }
            advanceMillisecond();
        }
        now = end;
    }

    private void advanceMillisecond() {
        currentMillisecond++;
        List<Event> due = bucket(currentMillisecond);
        currentEvents.addAll(due);
        due.clear();
        while (!overflow.isEmpty() && overflow.peek().time() / MILLISECOND <= currentMillisecond) {
            currentEvents.add(overflow.poll());
        }
    }

    private List<Event> bucket(long eventMillisecond) {
        return wheel.get((int) (eventMillisecond % WHEEL_SIZE));
    }
}
