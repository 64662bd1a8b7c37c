package org.plantainshunt.standins;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A value that readers see some time after it changed, as reports of real backend servers lag.
 *
 * <p>Safe for use by any thread.
 */
final class LaggedValue<T> {
    private final Deque<Change<T>> changes = new ArrayDeque<>();

    LaggedValue(T first) {
        changes.add(new Change<>(Long.MIN_VALUE, first));
    }

    /**
     * Changes the value.
     *
     * @param lag how long the earlier value may still be read, in nanoseconds
     */
    synchronized void set(T value, long now, long lag) {
        changes.addLast(new Change<>(now, value));
        dropBefore(now - lag);
    }

    /** Returns the value as it was a lag ago, in nanoseconds. */
    synchronized T get(long now, long lag) {
        dropBefore(now - lag);
        return changes.peekFirst().value();
    }

    /** Returns the value as it is. */
    synchronized T latest() {
        return changes.peekLast().value();
    }

    private void dropBefore(long time) {
        while (changes.size() > 1) {
            Change<T> first = changes.pollFirst();
            if (changes.peekFirst().at() > time) {
                changes.addFirst(first);
                return;
            }
        }
    }

    private record Change<T>(long at, T value) {}
}
