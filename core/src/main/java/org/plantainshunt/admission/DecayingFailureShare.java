package org.plantainshunt.admission;

/** An exponentially decaying average of the share of results that failed. Confined to one thread. */
public final class DecayingFailureShare {
    private final double timeConstant;
    private double succeededWeight;
    private double failedWeight;
    private long decayedAt;

    /**
     * Creates an average without results.
     *
     * @param timeConstant the time constant: a result of this age has 1/e of its weight left, in nanoseconds
     */
    public DecayingFailureShare(double timeConstant) {
        this.timeConstant = timeConstant;
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
        double factor = Math.exp(-Math.max(0, now - decayedAt) / timeConstant);
        succeededWeight *= factor;
        failedWeight *= factor;
        decayedAt = now;
    }
}
