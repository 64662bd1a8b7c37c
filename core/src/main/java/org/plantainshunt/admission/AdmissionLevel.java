package org.plantainshunt.admission;

import java.util.Arrays;
import java.util.function.Predicate;

import org.plantainshunt.configuration.PriorityClass;

/**
 * The number of priority values that the entry nodes may send, 0 to 512, computed every 100 ms.
 *
 * <p>Two things are learned in each window. The <em>capacity</em> is the number of calls that ended while the slots
 * were busy. The <em>demand</em> of each priority value is the number of calls offered with it. Entry nodes hold back
 * most calls at and above the level, so the demand there cannot be seen; it is remembered from earlier windows and
 * decays slowly, unless more is offered than remembered.
 *
 * <p>While any class has a standing delay or loses calls in the queue, the level falls to where the demand below it is
 * just under the capacity, but not below the classes that are served well: the queue starts them first, so refusing
 * them would only lose important work. Otherwise the level rises by as much demand as the idle slots could have taken,
 * so that unimportant work returns in steps that fit. Confined to one thread.
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

    /** One call in each window is admitted even if none ended, or the end of a stall would never be seen. */
    private static final double LOWEST_TARGET = 1;

    private static final double SMALLEST_RISE = 1.03;
    private static final double LARGEST_RISE = 2;

    /** Bounds a rise into priorities of unknown demand; from 0 to 512 takes 0.6 s. */
    private static final int LARGEST_STEP = 96;

    /** More calls lost in the queue than this share of the class's offered ones count as overload, without a delay. */
    private static final double LOST_SHARE = 0.02;

    private static final PriorityClass[] CLASSES = PriorityClass.values();

    private final int[] offered = new int[ALL];
    private final double[] demand = new double[ALL];
    private final int[] offeredByClass = new int[CLASSES.length];
    private final int[] lostByClass = new int[CLASSES.length];
    private int ended;
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
        offeredByClass[priority.priorityClass().ordinal()]++;
    }

    /** Counts a call that ended after it held a slot. */
    void ended() {
        ended++;
    }

    /** Counts a waiting call that was evicted or ran out of time; those above the level are expected to be lost. */
    void lost(Priority priority) {
        if (priority.value() < level) {
            lostByClass[priority.priorityClass().ordinal()]++;
        }
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

    /** Returns whether a window has passed since the last {@link #update}. */
    boolean due(long now) {
        return now - windowStart >= WINDOW;
    }

    /**
     * Computes the level anew from the window that has passed.
     *
     * @param delayed tells of a class whether its delay is reason to lower the level
     */
    void update(Predicate<PriorityClass> delayed, long now) {
        long elapsed = now - windowStart;
        double used = slotTime > 0 ? slotTimeUsed / slotTime : 0;
        if (elapsed <= LONGEST_WINDOW) {
            int overloaded = mostImportantOverloaded(delayed);
            double scale = (double) WINDOW / elapsed;
            learnCapacity(ended * scale, overloaded < CLASSES.length || used >= BUSY);
            learnDemand(scale);
            totalDemand = demandBelow(ALL);
            level = overloaded < CLASSES.length ? lowered(overloaded) : raised(used);
        } else if (used < BUSY) {
            level = (int) Math.min(ALL, level + LARGEST_STEP * (elapsed / WINDOW));
        }
        beginWindow(now);
    }

    private void beginWindow(long now) {
        windowStart = now;
        Arrays.fill(offered, 0);
        Arrays.fill(offeredByClass, 0);
        Arrays.fill(lostByClass, 0);
        ended = 0;
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

    /** Returns the ordinal of the most important class that is overloaded, or the number of classes if none is. */
    private int mostImportantOverloaded(Predicate<PriorityClass> delayed) {
        for (int i = 0; i < CLASSES.length; i++) {
            if (delayed.test(CLASSES[i]) || lostByClass[i] > LOST_SHARE * offeredByClass[i]) {
                return i;
            }
        }
        return CLASSES.length;
    }

    private int lowered(int overloaded) {
        double target = Math.max(LOWEST_SHARE * capacity, Math.min(capacity, FALL * demandBelow(level)));
        int wanted = levelFor(Math.max(LOWEST_TARGET, target));
        return Math.min(level, Math.max(overloaded * Priority.COHORTS, wanted));
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
