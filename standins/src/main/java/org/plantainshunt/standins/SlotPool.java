package org.plantainshunt.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * The slots of a backend server, with a bounded FIFO queue.
 *
 * <p>Each granted slot must be released exactly once. Thread-safe.
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

    /** The result of a request for a slot. */
    enum Admission {
        /** The request holds a slot. */
        GRANTED,
        /** The queue was full. */
        SHED,
        /** The request was cancelled while it waited. */
        CANCELLED
    }

    /** Acquires a slot, or waits for one in the queue; the callback is called exactly once. */
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
                // Registered under the lock: once the slot is granted, the request registers later waits, and this call
                // would replace one of them, so that cancelling the request would not end that wait.
                request.waitFor(() -> removeWaiter(waiter));
            }
        }
        if (immediate != null) {
            callback.accept(immediate);
        }
    }

    /** Releases a slot and grants it to the request that has waited longest, if any. */
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

    /** A request in the queue; compared by identity. */
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
