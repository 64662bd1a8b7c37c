package org.plantainshunt.admission;

/**
 * The number of calls that the backend server runs at a time.
 *
 * <p>The limit is the configured number of slots until the backend server sheds load itself. Each round of sheds then
 * shrinks it to four fifths of the running calls, at most by half, and each round of successes raises it by one; after
 * a second without a shed the step doubles each round, so that a small limit recovers quickly. Latency does not shrink
 * the limit, because latency alone does not distinguish overload from a slow-down caused by a noisy neighbour. A server
 * that ends more work with fewer running calls is kept at its {@link SaturationPoint}. Confined to one thread.
 */
final class ConcurrencyLimit {
    /** Small enough to find the real capacity within a few rounds, without halving it for a single shed. */
    private static final double DECREASE_FACTOR = 0.8;

    /** After this long without a shed, in nanoseconds, the cause of the small limit is likely to be gone. */
    private static final long FAST_GROWTH_AFTER = 1_000_000_000L;

    private int slots;
    private int limit;
    private int successes;
    private int step = 1;
    private long shedAt;
    private final SaturationPoint saturation;

    ConcurrencyLimit(int slots) {
        this.slots = slots;
        this.limit = slots;
        this.saturation = new SaturationPoint(slots);
    }

    int current() {
        return Math.min(limit, saturation.limit());
    }

    /** Sets a new number of slots; a limit below the old number is kept, or cut to the new one. */
    void configure(int newSlots) {
        limit = limit == slots ? newSlots : Math.min(limit, newSlots);
        if (newSlots != slots) {
            saturation.configure(newSlots);
        }
        slots = newSlots;
    }

    /**
     * Counts a call that got a slot.
     *
     * @param running the number of running calls, including this one
     */
    void started(CallEntry entry, int running, long now) {
        if (limit == slots) {
            saturation.started(entry, running, now);
        }
    }

    /**
     * Adjusts the limit at the end of a call.
     *
     * @param running the number of running calls, including this one
     */
    void ended(CallEntry entry, CallEnd end, int running, long now) {
        if (end == CallEnd.SHED_BY_BACKEND_SERVER) {
            shrink(entry.startedAt(), running, now);
        } else if (end == CallEnd.ANSWERED) {
            saturation.answered(entry, now - entry.startedAt(), now);
            grow(now);
        }
    }

    /** Shrinks once a round: calls that started before the last shrink do not reflect the new limit. */
    private void shrink(long startedAt, int running, long now) {
        if (limit < slots && startedAt - shedAt < 0) {
            return;
        }
        // A single shed at low concurrency may be chance, so one round takes half of the limit at most.
        limit = Math.max(Math.max(1, limit / 2), (int) (Math.min(limit, running) * DECREASE_FACTOR));
        shedAt = now;
        successes = 0;
        step = 1;
    }

    private void grow(long now) {
        if (limit == slots) {
            return;
        }
        successes++;
        if (successes < limit) {
            return;
        }
        successes = 0;
        limit = Math.min(slots, limit + step);
        if (now - shedAt > FAST_GROWTH_AFTER) {
            step = Math.min(slots, step * 2);
        }
    }
}
