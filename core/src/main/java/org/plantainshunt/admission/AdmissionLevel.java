package org.plantainshunt.admission;

import java.util.Arrays;

/**
 * The number of priority values that the entry nodes may send, 0 to 512, computed every 100 ms.
 *
 * <p>Two things are learned in each window. The <em>capacity</em> is the number of calls that ended while the slots
 * were busy. The <em>demand</em> of each priority value is the number of calls offered with it. Entry nodes hold back most
 * calls at and above the level, so the demand there cannot be seen; it is remembered from earlier windows and decays
 * slowly, unless more is offered than remembered.
 *
 * <p>While the queue is overloaded the level falls to where the demand below it is just under the capacity. Otherwise
 * it rises by as much demand as the idle slots could have taken, so that unimportant work returns in steps that fit.
 * Confined to one thread.
 */
final class AdmissionLevel {
    /** All priorities are admitted. */
    static final int ALL = Priority.VALUES;

    /** The time between two computations, in nanoseconds. */
    static final long WINDOW = 100_000_000L;

    /** A window longer than this is a pause of the process or a time without calls, and tells nothing about demand. */
    private static final long LONGEST_WINDOW = 1_000_000_000L;

    /** The weight of the newest window; a surge is known to seven eighths after three windows. */
    private static final double DEMAND_WEIGHT = 0.5;

    /** Smaller than the weight of demand, because the calls of a small service are few in each window. */
    private static final double CAPACITY_WEIGHT = 0.4;

    /** Halves the memory of demand that cannot be seen in 3.5 s. */
    private static final double UNSEEN_DECAY = 0.98;

    /** The slots were busy enough for the calls that ended to show the capacity. */
    private static final double BUSY = 0.9;

    /** Each overloaded window admits 5 % less, so that the queue shrinks even if the capacity is overrated. */
    private static final double FALL = 0.95;

    /** The level admits at least this share of the capacity, so that slots do not idle once the queue is empty. */
    private static final double LOWEST_SHARE = 0.85;

    private static final double SMALLEST_RISE = 1.03;
    private static final double LARGEST_RISE = 1.5;

    /** Bounds a rise into priorities of unknown demand; from 0 to 512 takes 1.6 s. */
    private static final int LARGEST_STEP = 32;

    /** More calls lost in the queue than this share of the offered ones count as overload, even without a delay. */
    private static final double LOST_SHARE = 0.02;

    private final int[] offered = new int[ALL];
    private final double[] demand = new double[ALL];
    private int offeredInWindow;
    private int ended;
    private int lost;
    private double slotTimeUsed;
    private double slotTime;
    private double capacity;
    private double totalDemand;
    private int level = ALL;
    private boolean begun;
    private long windowStart;
    private long slotsSeenAt;

    int level() {
        return level;
    }

    /** Returns the calls that end in a second, as last measured; 0 before the first window. */
    double capacityPerSecond() {
        return capacity * 1e9 / WINDOW;
    }

    /** Returns the calls offered in a second, including those remembered above the level. */
    double demandPerSecond() {
        return totalDemand * 1e9 / WINDOW;
    }

    /** Counts an offered call. */
    void offered(Priority priority) {
        offered[priority.value()]++;
        offeredInWindow++;
    }

    /** Counts a call that ended after it held a slot. */
    void ended() {
        ended++;
    }

    /** Counts a waiting call that was evicted from a full queue or ran out of time. */
    void lost() {
        lost++;
    }

    /** Adds the use of the slots since the last call of this method; called before the use changes. */
    void slotsUsed(int running, int limit, long now) {
        if (!begun) {
            begun = true;
            windowStart = now;
            slotsSeenAt = now;
        }
        double elapsed = now - slotsSeenAt;
        slotTimeUsed += elapsed * Math.min(running, limit);
        slotTime += elapsed * limit;
        slotsSeenAt = now;
    }

    /** Computes the level anew if a window has passed. */
    void update(boolean standing, long now) {
        long elapsed = now - windowStart;
        if (elapsed < WINDOW) {
            return;
        }
        double used = slotTime > 0 ? slotTimeUsed / slotTime : 0;
        if (elapsed <= LONGEST_WINDOW) {
            boolean overloaded = standing || lost > LOST_SHARE * offeredInWindow;
            double scale = (double) WINDOW / elapsed;
            learnCapacity(ended * scale, overloaded || used >= BUSY);
            learnDemand(scale);
            totalDemand = demandBelow(ALL);
            level = overloaded ? lowered() : raised(used);
        } else if (used < BUSY) {
            level = (int) Math.min(ALL, level + LARGEST_STEP * (elapsed / WINDOW));
        }
        beginWindow(now);
    }

    private void beginWindow(long now) {
        windowStart = now;
        Arrays.fill(offered, 0);
        offeredInWindow = 0;
        ended = 0;
        lost = 0;
        slotTimeUsed = 0;
        slotTime = 0;
    }

    private void learnCapacity(double endedInWindow, boolean busy) {
        if (!busy || capacity == 0) {
            capacity = Math.max(capacity, endedInWindow);
        } else {
            capacity += CAPACITY_WEIGHT * (endedInWindow - capacity);
        }
    }

    private void learnDemand(double scale) {
        learnSeen(0, level, scale);
        double remembered = 0;
        double seen = 0;
        for (int value = level; value < ALL; value++) {
            remembered += demand[value];
            seen += offered[value] * scale;
        }
        if (seen >= remembered) {
            learnSeen(level, ALL, scale);
            return;
        }
        for (int value = level; value < ALL; value++) {
            demand[value] *= UNSEEN_DECAY;
        }
    }

    private void learnSeen(int from, int to, double scale) {
        for (int value = from; value < to; value++) {
            demand[value] += DEMAND_WEIGHT * (offered[value] * scale - demand[value]);
        }
    }

    private int lowered() {
        double target = Math.max(LOWEST_SHARE * capacity, Math.min(capacity, FALL * demandBelow(level)));
        return Math.min(level, levelFor(target));
    }

    private int raised(double used) {
        if (level == ALL) {
            return ALL;
        }
        double rise = Math.max(SMALLEST_RISE, Math.min(LARGEST_RISE, 1 / Math.max(used, 1 / LARGEST_RISE)));
        int wanted = levelFor(rise * demandBelow(level));
        return Math.max(level + 1, Math.min(wanted, Math.min(ALL, level + LARGEST_STEP)));
    }

    private double demandBelow(int bound) {
        double sum = 0;
        for (int value = 0; value < bound; value++) {
            sum += demand[value];
        }
        return sum;
    }

    /** Returns the lowest level with this much demand below it: too much rather than too little, to keep slots busy. */
    private int levelFor(double target) {
        double sum = 0;
        for (int value = 0; value < ALL; value++) {
            if (sum >= target) {
                return value;
            }
            sum += demand[value];
        }
        return ALL;
    }
}
