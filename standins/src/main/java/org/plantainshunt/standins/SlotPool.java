package org.plantainshunt.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * The slots of a backend server with a bounded first-in-first-out queue.
 *
 * <p>Each work that was given a slot must leave it once. Safe for use by any thread.
 */
final class SlotPool {
    private final int slots;
    private final int queueLimit;
    private final Deque<Waiter> queue = new ArrayDeque<>();
    private int busy;

    SlotPool(int slots, int queueLimit) {
        this.slots = slots;
        this.queueLimit = queueLimit;
    }

    /** What became of a work that asked for a slot. */
    enum Admission {
        /** It holds a slot. */
        GRANTED,
        /** The queue was full. */
        SHED,
        /** It was given up while it waited. */
        CANCELLED
    }

    /** Asks for a slot; the decision is told exactly once. */
    void acquire(ReceivedRequest request, Consumer<Admission> callback) {
        Waiter waiter = new Waiter(callback);
        Admission immediate = null;
        synchronized (this) {
            if (busy < slots) {
                busy++;
                immediate = Admission.GRANTED;
            } else if (queue.size() >= queueLimit) {
                immediate = Admission.SHED;
            } else {
                queue.addLast(waiter);
                // Under the lock, so that a slot granted at once cannot be followed by this registration.
                request.waitFor(() -> removeWaiter(waiter));
            }
        }
        if (immediate != null) {
            callback.accept(immediate);
        }
    }

    /** Frees a slot and gives it to the work that has waited longest. */
    void release() {
        Waiter next;
        synchronized (this) {
            next = queue.pollFirst();
            if (next == null) {
                busy--;
                return;
            }
        }
        next.callback().accept(Admission.GRANTED);
    }

    synchronized int busy() {
        return busy;
    }

    synchronized int waiting() {
        return queue.size();
    }

    private void removeWaiter(Waiter waiter) {
        synchronized (this) {
            if (!queue.remove(waiter)) {
                return;
            }
        }
        waiter.callback().accept(Admission.CANCELLED);
    }

    /** A work in the queue; compared by identity. */
    private static final class Waiter {
        private final Consumer<Admission> callback;

        Waiter(Consumer<Admission> callback) {
            this.callback = callback;
        }

        Consumer<Admission> callback() {
            return callback;
        }
    }
}
