package org.plantainshunt.admission;

import java.util.Arrays;
import java.util.function.Predicate;

import org.plantainshunt.configuration.PriorityClass;

/**
 * The number of priority values that the entry nodes may send, 1 to 512, computed every 100 ms.
 *
 * <p>Each window updates two estimates. The <em>capacity</em> is the number of calls that ended while the slots
 * were busy. The <em>demand</em> of each priority value is the number of calls offered with it. Entry nodes hold back
 * most calls at and above the level, so the demand there cannot be observed; the estimate from earlier windows is kept
 * and decays slowly, unless more is offered than estimated.
 *
 * <p>While any class has a standing delay or loses calls in the queue, the level falls to where the demand below it is
 * just under the capacity, but not below the classes that are served well: the queue starts them first, so refusing
 * them would only lose important work. Otherwise the level rises by as much demand as the idle slots could have taken,
 * so that unimportant work returns in steps that fit. Confined to one thread.
 */
final class AdmissionLevel {
    /** All priorities are admitted. */
    static final int ADMITS_ALL = Priority.VALUES;

    /** The time between two computations, in nanoseconds. */
    static final long WINDOW = 100_000_000L;

    /**
     * The longest window that updates the estimates, in nanoseconds: a longer one is a pause of the process or a time
     * without calls, and carries no information on demand. If the slots were not busy, it only raises the level.
     */
    private static final long MAX_WINDOW = 1_000_000_000L;

    /** The weight of the newest window; three windows account for seven eighths of a surge. */
    private static final double DEMAND_WEIGHT = 0.5;

    /** Smaller than the weight of demand, because few calls of a small service end in each window. */
    private static final double CAPACITY_WEIGHT = 0.4;

    /** The decay of unobserved demand per window, a half-life of 3.4 s. */
    private static final double UNOBSERVED_DECAY = 0.98;

    /** The slot utilisation from which the number of ended calls measures the capacity. */
    private static final double BUSY_UTILISATION = 0.9;

    /** Each overloaded window admits 5 % less, so that the queue shrinks even if the capacity is overestimated. */
    private static final double DECREASE_FACTOR = 0.95;

    /** The level admits at least this share of the capacity, so that slots do not idle once the queue is empty. */
    private static final double MIN_CAPACITY_SHARE = 0.85;

    /** One call in each window is admitted even if none ended, or the end of a stall would never be detected. */
    private static final double MIN_TARGET = 1;

    private static final double MIN_INCREASE_FACTOR = 1.03;
    private static final double MAX_INCREASE_FACTOR = 2;

    /** Bounds an increase into priorities of unknown demand; a rise over all 512 values takes 0.6 s. */
    private static final int MAX_STEP = 96;

    /** A class that loses more than this share of its offered calls in the queue is overloaded even without a delay. */
    private static final double OVERLOAD_LOSS_SHARE = 0.02;

    private static final PriorityClass[] CLASSES = PriorityClass.values();

    private final int[] offered = new int[ADMITS_ALL];
    private final double[] demand = new double[ADMITS_ALL];
    private final int[] offeredByClass = new int[CLASSES.length];
    private final int[] lostByClass = new int[CLASSES.length];
    private int ended;
    private double slotTimeUsed;
    private double slotTime;
    private double capacity;
    private double totalDemand;
    private int level = ADMITS_ALL;
    private boolean started;
    private long windowStart;
    private long slotsUpdatedAt;

    int level() {
        return level;
    }

    /** Returns the calls that end in a second, as last measured; 0 before the first window. */
    double capacityPerSecond() {
        return capacity * 1e9 / WINDOW;
    }

    /** Returns the calls offered in a second, including the estimate above the level. */
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

    /** Counts a waiting call below the level that was evicted or missed its deadline; other losses are expected. */
    void lost(Priority priority) {
        if (priority.value() < level) {
            lostByClass[priority.priorityClass().ordinal()]++;
        }
    }

    /** Adds the slot usage since the last call of this method; called before the usage changes. */
    void slotsUsed(int running, int limit, long now) {
        if (!started) {
            started = true;
            windowStart = now;
            slotsUpdatedAt = now;
        }
        double elapsed = now - slotsUpdatedAt;
        slotTimeUsed += elapsed * Math.min(running, limit);
        slotTime += elapsed * limit;
        slotsUpdatedAt = now;
    }

    /** Returns whether a window has passed since the last {@link #update}. */
    boolean due(long now) {
        return now - windowStart >= WINDOW;
    }

    /**
     * Recomputes the level from the window that has ended.
     *
     * @param delayed whether the delay of a class requires a lower level
     */
    void update(Predicate<PriorityClass> delayed, long now) {
        long elapsed = now - windowStart;
        double utilisation = slotTime > 0 ? slotTimeUsed / slotTime : 0;
        if (elapsed <= MAX_WINDOW) {
            int overloaded = mostImportantOverloaded(delayed);
            double scale = (double) WINDOW / elapsed;
            updateCapacity(ended * scale, overloaded < CLASSES.length || utilisation >= BUSY_UTILISATION);
            updateDemand(scale);
            totalDemand = demandBelow(ADMITS_ALL);
            level = overloaded < CLASSES.length ? decreasedLevel(overloaded) : increasedLevel(utilisation);
        } else if (utilisation < BUSY_UTILISATION) {
            level = (int) Math.min(ADMITS_ALL, level + MAX_STEP * (elapsed / WINDOW));
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

    private void updateCapacity(double endedInWindow, boolean busy) {
        if (!busy || capacity == 0) {
            capacity = Math.max(capacity, endedInWindow);
        } else {
            capacity += CAPACITY_WEIGHT * (endedInWindow - capacity);
        }
    }

    private void updateDemand(double scale) {
        updateObservedDemand(0, level, scale);
        double estimated = 0;
        double observed = 0;
        for (int value = level; value < ADMITS_ALL; value++) {
            estimated += demand[value];
            observed += offered[value] * scale;
        }
        if (observed >= estimated) {
            updateObservedDemand(level, ADMITS_ALL, scale);
            return;
        }
        for (int value = level; value < ADMITS_ALL; value++) {
            demand[value] *= UNOBSERVED_DECAY;
        }
    }

    private void updateObservedDemand(int from, int to, double scale) {
        for (int value = from; value < to; value++) {
            demand[value] += DEMAND_WEIGHT * (offered[value] * scale - demand[value]);
        }
    }

    /** Returns the ordinal of the most important class that is overloaded, or the number of classes if none is. */
    private int mostImportantOverloaded(Predicate<PriorityClass> delayed) {
        for (int i = 0; i < CLASSES.length; i++) {
            if (delayed.test(CLASSES[i]) || lostByClass[i] > OVERLOAD_LOSS_SHARE * offeredByClass[i]) {
                return i;
            }
        }
        return CLASSES.length;
    }

    private int decreasedLevel(int overloaded) {
        double target =
                Math.max(MIN_CAPACITY_SHARE * capacity, Math.min(capacity, DECREASE_FACTOR * demandBelow(level)));
        int wanted = levelFor(Math.max(MIN_TARGET, target));
        return Math.min(level, Math.max(overloaded * Priority.COHORTS, wanted));
    }

    private int increasedLevel(double utilisation) {
        if (level == ADMITS_ALL) {
            return ADMITS_ALL;
        }
        double factor = Math.max(
                MIN_INCREASE_FACTOR, Math.min(MAX_INCREASE_FACTOR, 1 / Math.max(utilisation, 1 / MAX_INCREASE_FACTOR)));
        int wanted = levelFor(factor * demandBelow(level));
        return Math.max(level + 1, Math.min(wanted, Math.min(ADMITS_ALL, level + MAX_STEP)));
    }

    private double demandBelow(int bound) {
        double sum = 0;
        for (int value = 0; value < bound; value++) {
            sum += demand[value];
        }
        return sum;
    }

    /** Returns the lowest level with at least this much demand below it; rounding up keeps the slots busy. */
    private int levelFor(double target) {
        double sum = 0;
        for (int value = 0; value < ADMITS_ALL; value++) {
            if (sum >= target) {
                return value;
            }
            sum += demand[value];
        }
        return ADMITS_ALL;
    }
}
