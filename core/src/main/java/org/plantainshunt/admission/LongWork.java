package org.plantainshunt.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Tracks the running calls and which of them have run long enough to count as long work.
 *
 * <p>A call becomes long when it has run for a configured multiple of the median service time of its kind. It then
 * counts as a sample of that service time at once. If all calls become slow, the median therefore follows before many
 * of them count as long, and a slow-down of the backend server is not mistaken for long work. Each operation takes time
 * logarithmic in the number of running calls. Confined to one thread.
 */
final class LongWork {
    /** The time until a call whose kind has no median yet is checked again, in nanoseconds. */
    private static final long CHECK_AGAIN_AFTER = 100_000_000L;

    private final TreeSet<CallEntry> toCheck = new TreeSet<>(new CheckOrder());
    private final TreeSet<CallEntry> cancellable = new TreeSet<>(new StartOrder());
    private final ServiceTimes times;
    private int longCalls;
    private int cancelRequests;

    LongWork(ServiceTimes times) {
        this.times = times;
    }

    /** Compares by difference, because clock values may wrap around. */
    private static final class CheckOrder implements Comparator<CallEntry> {
        @Override
        public int compare(CallEntry first, CallEntry second) {
            int order = Long.signum(first.longCheckAt - second.longCheckAt);
            return order != 0 ? order : Long.compare(first.sequence, second.sequence);
        }
    }

    /** Orders the longest-running call first. */
    private static final class StartOrder implements Comparator<CallEntry> {
        @Override
        public int compare(CallEntry first, CallEntry second) {
            int order = Long.signum(first.startedAt() - second.startedAt());
            return order != 0 ? order : Long.compare(first.sequence, second.sequence);
        }
    }

    void started(CallEntry entry, int longWorkAfter, long now) {
        entry.longCheckAt = becomesLongAt(entry, longWorkAfter, now);
        toCheck.add(entry);
    }

    void ended(CallEntry entry) {
        if (!entry.isLong) {
            toCheck.remove(entry);
            return;
        }
        longCalls--;
        if (entry.cancelRequested) {
            cancelRequests--;
        } else {
            cancellable.remove(entry);
        }
    }

    /**
     * Returns the repeatable long calls to cancel so that at most {@code allowed} long calls stay, the longest-running
     * first, each call once.
     */
    List<CallEntry> toCancel(int allowed) {
        List<CallEntry> cancel = new ArrayList<>();
        while (longCalls - cancelRequests > allowed && !cancellable.isEmpty()) {
            CallEntry entry = cancellable.pollFirst();
            entry.cancelRequested = true;
            cancelRequests++;
            cancel.add(entry);
        }
        return cancel;
    }

    /** Finds the calls that have become long since the last update. */
    void update(int longWorkAfter, long now) {
        while (!toCheck.isEmpty() && now - toCheck.first().longCheckAt >= 0) {
            CallEntry entry = toCheck.pollFirst();
            long longAt = becomesLongAt(entry, longWorkAfter, now);
            if (now - longAt < 0) {
                entry.longCheckAt = longAt;
                toCheck.add(entry);
            } else {
                entry.isLong = true;
                longCalls++;
                if (!entry.atMostOnce()) {
                    cancellable.add(entry);
                }
                times.add(entry.kind(), now - entry.startedAt(), now);
            }
        }
    }

    private long becomesLongAt(CallEntry entry, int longWorkAfter, long now) {
        long median = times.median(entry.kind());
        return median == ServiceTimes.UNKNOWN ? now + CHECK_AGAIN_AFTER : entry.startedAt() + median * longWorkAfter;
    }
}
