package org.plantainshunt.retry;

import java.util.concurrent.TimeUnit;

/**
 * Limits the retries of the calls that share the budget, such as a node's calls of one service and priority class, to a
 * share of their first attempts.
 *
 * <p>Within a window of 10 s there are at most {@code ratio} times as many retries as first attempts, plus a floor of
 * one a second unless stated otherwise, so that a failure of the whole fleet does not multiply the load. The window
 * moves in steps of one second, so it covers between 9 and 10 s at any time. Confined to one thread.
 */
public final class RetryBudget {
    /** The window, in seconds; also the default floor, which amounts to one retry a second. */
    private static final int WINDOW_SECONDS = 10;

    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final int[] attempts = new int[WINDOW_SECONDS];
    private final int[] retries = new int[WINDOW_SECONDS];
    private double ratio;
    private final double floor;
    private long currentSecond = Long.MIN_VALUE;

    /**
     * Creates a budget.
     *
     * @param ratio the retries permitted for each first attempt, 0 to 1
     */
    public RetryBudget(double ratio) {
        this(ratio, WINDOW_SECONDS);
    }

    /**
     * Creates a budget.
     *
     * @param ratio the retries permitted for each first attempt, 0 to 1
     * @param floor the retries permitted in a window of 10 s without a first attempt
     */
    public RetryBudget(double ratio, double floor) {
        this.ratio = ratio;
        this.floor = floor;
    }

    /** Changes the ratio, 0 to 1, when another configuration comes into force. */
    public void configure(double newRatio) {
        this.ratio = newRatio;
    }

    /**
     * Counts a first attempt.
     *
     * @param now the time in nanoseconds
     */
    public void attempted(long now) {
        advanceTo(now);
        attempts[bucket()]++;
    }

    /**
     * Takes a retry if the budget permits it.
     *
     * @param now the time in nanoseconds
     * @return whether the retry may be made
     */
    public boolean tryRetry(long now) {
        return tryRetry(now, 1);
    }

    /**
     * Takes a retry of a given cost if the budget permits it.
     *
     * @param now the time in nanoseconds
     * @param cost the number of retries that it counts as, more than one if it repeats downstream calls
     * @return whether the retry may be made
     */
    public boolean tryRetry(long now, int cost) {
        advanceTo(now);
        if (sum(retries) + cost > ratio * sum(attempts) + floor) {
            return false;
        }
        retries[bucket()] += cost;
        return true;
    }

    private void advanceTo(long now) {
        long second = Math.floorDiv(now, SECOND);
        if (currentSecond == Long.MIN_VALUE || second - currentSecond >= WINDOW_SECONDS) {
            currentSecond = second - WINDOW_SECONDS;
        }
        while (currentSecond < second) {
            currentSecond++;
            attempts[bucket()] = 0;
            retries[bucket()] = 0;
        }
    }

    private int bucket() {
        return Math.floorMod(currentSecond, WINDOW_SECONDS);
    }

    private static int sum(int[] counts) {
        int total = 0;
        for (int count : counts) {
            total += count;
        }
        return total;
    }
}
