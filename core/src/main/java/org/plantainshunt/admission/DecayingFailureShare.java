package org.plantainshunt.admission;

/**
 * An exponentially decaying average of the share of results that failed.
 *
 * <p>Results may decay more slowly while there are few of them, so that a node with a small part of the traffic bases
 * its decisions on as many results as one with a large part, only on older ones. Confined to one thread.
 */
public final class DecayingFailureShare {
    private final double timeConstant;
    private final double slowTimeConstant;
    private final double slowWeight;
    private double succeededWeight;
    private double failedWeight;
    private long decayedAt;

    /**
     * Creates an average without results.
     *
     * @param timeConstant the time constant: a result of this age has 1/e of its weight left, in nanoseconds
     */
    public DecayingFailureShare(double timeConstant) {
        this(timeConstant, timeConstant, 0);
    }

    /**
     * Creates an average without results, whose decay slows down.
     *
     * @param timeConstant the time constant while the total weight is above {@code slowWeight}, in nanoseconds
     * @param slowTimeConstant the time constant below it, in nanoseconds
     * @param slowWeight the total weight at which the decay slows down
     */
    DecayingFailureShare(double timeConstant, double slowTimeConstant, double slowWeight) {
        this.timeConstant = timeConstant;
        this.slowTimeConstant = slowTimeConstant;
        this.slowWeight = slowWeight;
    }

    /** Counts a result at a time in nanoseconds. */
    public void add(boolean failed, long now) {
        decay(now);
        succeededWeight += failed ? 0 : 1;
        failedWeight += failed ? 1 : 0;
    }

    /** Returns the total weight of the results; a result counted now has weight 1. */
    public double weight(long now) {
        decay(now);
        return succeededWeight + failedWeight;
    }

    /** Returns the share of the results that failed, 0 to 1; 0 if there are none. */
    public double share(long now) {
        decay(now);
        return failedWeight == 0 ? 0 : failedWeight / (succeededWeight + failedWeight);
    }

    private void decay(long now) {
        double elapsed = Math.max(0, now - decayedAt);
        decayedAt = now;
        double weight = succeededWeight + failedWeight;
        double fast = weight > slowWeight ? Math.min(elapsed, timeConstant * Math.log(weight / slowWeight)) : 0;
        double factor = Math.exp(-fast / timeConstant - (elapsed - fast) / slowTimeConstant);
        succeededWeight *= factor;
        failedWeight *= factor;
    }
}
