package org.plantainshunt.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * Finds the running calls whose outcome is no longer waited for.
 *
 * <p>A call that runs at most once is not cancelled at its deadline, and holds its slot until the backend server has
 * finished it. On a connection that fell silent, or with an answer that never ends, that would be for ever. A call that
 * is overdue by {@link #LIMIT} is therefore given up: the backend server, which knows the deadline, is assumed to have
 * stopped working on it. If it has not, it runs more calls than it has slots until that work ends. Each operation takes
 * time logarithmic in the number of running calls. Confined to one thread.
 */
final class OverdueCalls {
    /** How long after its deadline a call holds its slot at most. */
    static final Duration LIMIT = Duration.ofSeconds(5);

    private final TreeSet<CallEntry> running = new TreeSet<>(OverdueCalls::compareDeadlines);

    void started(CallEntry entry) {
        running.add(entry);
    }

    void ended(CallEntry entry) {
        running.remove(entry);
    }

    /** Returns the calls to give up, each once. */
    List<CallEntry> toGiveUp(long now) {
        List<CallEntry> overdue = new ArrayList<>();
        while (!running.isEmpty() && now - running.first().deadline() >= LIMIT.toNanos()) {
            overdue.add(running.pollFirst());
        }
        return overdue;
    }

    /** Compares by difference, because clock values may wrap around. */
    private static int compareDeadlines(CallEntry first, CallEntry second) {
        int order = Long.signum(first.deadline() - second.deadline());
        return order != 0 ? order : Long.compare(first.sequence, second.sequence);
    }
}
