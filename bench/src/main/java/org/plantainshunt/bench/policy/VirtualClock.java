package org.plantainshunt.bench.policy;

import java.util.PriorityQueue;

/**
 * A discrete-event scheduler with a clock in virtual nanoseconds.
 *
 * <p>Events run in the order of their time and, at equal times, in the order in which they were added, so that a run is
 * repeatable to the digit. Confined to one thread.
 */
final class VirtualClock {
    static final long MICROSECOND = 1_000L;
    static final long MILLISECOND = 1_000_000L;
    static final long SECOND = 1_000_000_000L;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long sequence;

    private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** Returns the virtual time in nanoseconds since the start of the run. */
    long now() {
        return now;
    }

    /** Runs an action after a delay in nanoseconds; a negative delay counts as zero. */
    void after(long delay, Runnable action) {
        events.add(new Event(now + Math.max(0, delay), sequence++, action));
    }

    /** Runs an action now and then at each further interval, in nanoseconds. */
    void every(long interval, Runnable action) {
        action.run();
        after(interval, () -> every(interval, action));
    }

    /** Runs all events up to and including this time, in nanoseconds, and sets the clock to it. */
    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().time() <= end) {
            Event event = events.poll();
            now = event.time();
            event.action().run();
        }
        now = end;
    }
}
