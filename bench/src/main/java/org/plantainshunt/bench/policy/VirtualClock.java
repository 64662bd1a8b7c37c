package org.plantainshunt.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A discrete-event scheduler with a clock in virtual nanoseconds.
 *
 * <p>Events run in the order of their time and, at equal times, in the order in which they were added, so that a run is
 * repeatable to the digit. Only the events of the current millisecond are in a heap; later ones wait unsorted by
 * millisecond, because the many timers of deadlines would make one heap for all events large and slow. Confined to one
 * thread.
 */
final class VirtualClock {
    static final long MICROSECOND = 1_000L;
    static final long MILLISECOND = 1_000_000L;
    static final long SECOND = 1_000_000_000L;

    /** The milliseconds that are kept one by one; it covers the deadlines of all kinds, at most 10 s. */
    private static final int SLOTS = 1 << 14;

    private final PriorityQueue<Event> current = new PriorityQueue<>();
    private final List<List<Event>> later = new ArrayList<>(SLOTS);
    private final PriorityQueue<Event> farAway = new PriorityQueue<>();
    private long millisecond;
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
        for (int slot = 0; slot < SLOTS; slot++) {
            later.add(new ArrayList<>());
        }
    }

    /** Returns the virtual time in nanoseconds since the start of the run. */
    long now() {
        return now;
    }

    /** Runs an action after a delay in nanoseconds; a negative delay counts as zero. */
    void after(long delay, Runnable action) {
        Event event = new Event(now + Math.max(0, delay), sequence++, action);
        long ahead = event.time() / MILLISECOND - millisecond;
        if (ahead <= 0) {
            current.add(event);
        } else if (ahead < SLOTS) {
            slot(event.time() / MILLISECOND).add(event);
        } else {
            farAway.add(event);
        }
    }

    /** Runs an action now and then at each further interval, in nanoseconds. */
    void every(long interval, Runnable action) {
        action.run();
        after(interval, () -> every(interval, action));
    }

    /** Runs all events up to and including this time, in nanoseconds, and sets the clock to it. */
    void runUntil(long end) {
        while (true) {
            while (!current.isEmpty() && current.peek().time() <= end) {
                Event event = current.poll();
                now = event.time();
                event.action().run();
            }
            if (millisecond >= end / MILLISECOND) {
                break;
            }
            nextMillisecond();
        }
        now = end;
    }

    private void nextMillisecond() {
        millisecond++;
        List<Event> due = slot(millisecond);
        current.addAll(due);
        due.clear();
        while (!farAway.isEmpty() && farAway.peek().time() / MILLISECOND <= millisecond) {
            current.add(farAway.poll());
        }
    }

    private List<Event> slot(long ofMillisecond) {
        return later.get((int) (ofMillisecond % SLOTS));
    }
}
