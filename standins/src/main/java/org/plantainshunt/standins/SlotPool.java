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
    enum Entry {
        /** It holds a slot. */
        SLOT,
        /** The queue was full. */
        SHED,
        /** It was given up while it waited. */
        GIVEN_UP
    }

    /** Asks for a slot; the decision is told exactly once. */
    void enter(Work work, Consumer<Entry> decision) {
        Waiter waiter = new Waiter(decision);
        Entry immediate = null;
        synchronized (this) {
            if (busy < slots) {
                busy++;
                immediate = Entry.SLOT;
            } else if (queue.size() >= queueLimit) {
                immediate = Entry.SHED;
            } else {
                queue.addLast(waiter);
                // Under the lock, so that a slot granted at once cannot be followed by this registration.
                work.waitFor(() -> abandon(waiter));
            }
        }
        if (immediate != null) {
            decision.accept(immediate);
        }
    }

    /** Frees a slot and gives it to the work that has waited longest. */
    void leave() {
        Waiter next;
        synchronized (this) {
            next = queue.pollFirst();
            if (next == null) {
                busy--;
                return;
            }
        }
        next.decision().accept(Entry.SLOT);
    }

    synchronized int busy() {
        return busy;
    }

    synchronized int waiting() {
        return queue.size();
    }

    private void abandon(Waiter waiter) {
        synchronized (this) {
            if (!queue.remove(waiter)) {
                return;
            }
        }
        waiter.decision().accept(Entry.GIVEN_UP);
    }

    /** A work in the queue; compared by identity. */
    private static final class Waiter {
        private final Consumer<Entry> decision;

        Waiter(Consumer<Entry> decision) {
            this.decision = decision;
        }

        Consumer<Entry> decision() {
            return decision;
        }
    }
}
