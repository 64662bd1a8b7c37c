package org.plantainshunt.standins;

import java.util.Map;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Draws random service times: log-normal around the mean of the kind, with occasional stragglers.
 *
 * <p>Thread-safe; the sequence of draws depends on the order of the calls.
 */
final class ServiceTimes {
    /** Slowdown of a server right after its start; falls linearly to 1 over the cold period. */
    private static final double COLD_START_FACTOR = 3;

    private static final double NANOS_PER_MILLISECOND = 1e6;

    private final Map<String, Double> meanMilliseconds;
    private final Spread spread;
    private final RandomGenerator random;
    private final long startedAt;
    private double slowFactor = 1;

    ServiceTimes(Map<String, Double> meanMilliseconds, Spread spread, RandomGenerator random, long startedAt) {
        this.meanMilliseconds = Map.copyOf(meanMilliseconds);
        this.spread = spread;
        this.random = random;
        this.startedAt = startedAt;
    }

    /** Draws a service time in nanoseconds; empty if the kind is unknown. */
    synchronized OptionalLong draw(String kind, long now) {
        Double mean = meanMilliseconds.get(kind);
        if (mean == null) {
            return OptionalLong.empty();
        }
        double sigma = spread.sigma();
        // Subtracting sigma squared over two keeps the mean of the log-normal distribution at the mean of the kind.
        double milliseconds = mean * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
        if (random.nextDouble() < spread.stragglerShare()) {
            milliseconds *= spread.stragglerFactor();
        }
        return OptionalLong.of((long) (milliseconds * slowFactor * coldStartFactor(now) * NANOS_PER_MILLISECOND));
    }

    boolean hasKind(String kind) {
        return meanMilliseconds.containsKey(kind);
    }

    synchronized void setSlowFactor(double factor) {
        slowFactor = factor;
    }

    private double coldStartFactor(long now) {
        double cold = spread.coldMilliseconds() * NANOS_PER_MILLISECOND;
        double left = cold - (now - startedAt);
        return left <= 0 ? 1 : 1 + (COLD_START_FACTOR - 1) * left / cold;
    }

    /**
     * How service times vary.
     *
     * @param sigma standard deviation of the logarithm of the service time
     * @param stragglerShare share of stragglers, 0 to 1
     * @param stragglerFactor factor on the service time of a straggler
     * @param coldMilliseconds length of the cold period after the start
     */
    record Spread(double sigma, double stragglerShare, double stragglerFactor, double coldMilliseconds) {}
}
