package org.plantainshunt.membership;

import java.util.PriorityQueue;

/** Runs actions in the order of their times on a virtual clock, in nanoseconds. Confined to one thread. */
final class EventQueue {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long scheduled;
    private long now;

    long now() {
        return now;
    }

    void after(long delay, Runnable action) {
        events.add(new Event(now + delay, scheduled++, action));
    }

    /** Runs the actions of the next {@code duration}. */
    void run(long duration) {
        long end = now + duration;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        now = end;
    }

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
