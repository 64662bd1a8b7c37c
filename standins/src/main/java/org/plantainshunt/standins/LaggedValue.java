package org.plantainshunt.standins;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A value whose changes become visible to readers after a lag, like the status reports of real backend servers.
 *
 * <p>Thread-safe.
 */
final class LaggedValue<T> {
    private final Deque<Change<T>> changes = new ArrayDeque<>();

    LaggedValue(T first) {
        changes.add(new Change<>(Long.MIN_VALUE, first));
    }

    /**
     * Changes the value.
     *
     * @param now the current {@link System#nanoTime}
     * @param lag how long readers may still see the earlier value, in nanoseconds
     */
    synchronized void set(T value, long now, long lag) {
        changes.addLast(new Change<>(now, value));
        dropBefore(now - lag);
    }

    /** Returns the value as of {@code now - lag}; both are in nanoseconds. */
    synchronized T get(long now, long lag) {
        dropBefore(now - lag);
        return changes.peekFirst().value();
    }

    /** Returns the current value, without a lag. */
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
