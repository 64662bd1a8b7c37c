package org.plantainshunt.routing;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The share of a service's calls that spill over to other regions because its servers in this region are overloaded.
 *
 * <p>The share rises while the waiting time in the region exceeds that outside by more than is tolerated to avoid the
 * detour, at least a quarter of the detour, and falls while it does not. It also rises while all servers in the region
 * refuse calls, unless those outside do too. It changes gradually since the waiting time lags behind the share: a node
 * that always sends all calls to the currently better side overloads the two sides in turn. Confined to one thread.
 */
final class Spillover {
    /** The time in which the share rises from 0 to 1 at full pressure, in nanoseconds; shorter times overshoot. */
    private static final double RISE_TIME = TimeUnit.SECONDS.toNanos(1);

    /** The time in which it falls from 1 to 0, in nanoseconds; longer, since waiting costs more than the detour. */
    private static final double FALL_TIME = TimeUnit.SECONDS.toNanos(6);

    /** The upper bound on the elapsed time of one update, in nanoseconds. */
    private static final long MAX_ELAPSED = TimeUnit.MILLISECONDS.toNanos(100);

    /** The detour over the link to another region, in nanoseconds. */
    private static final double DETOUR = Distance.OTHER_REGION.roundTrip();

    private double share;
    private long updatedAt;

    /**
     * Updates the share to the time {@code now}, in nanoseconds, and returns it, 0 to 1.
     *
     * @param spilloverWaitMultiple the waiting time up to which calls stay in the region, as a multiple of the lowest
     *     latency
     */
    double share(List<Upstream> near, List<Upstream> far, double spilloverWaitMultiple, long now) {
        long elapsed = Math.max(0, Math.min(MAX_ELAPSED, now - updatedAt));
        updatedAt = now;
        double pressure = pressure(near, far, spilloverWaitMultiple, now);
        share = Math.max(0, Math.min(1, share + pressure * elapsed / (pressure > 0 ? RISE_TIME : FALL_TIME)));
        return share;
    }

    /** Returns how fast the share should rise or fall, -1 to 1. */
    private static double pressure(List<Upstream> near, List<Upstream> far, double spilloverWaitMultiple, long now) {
        if (allFull(near, now)) {
            return allFull(far, now) ? 0 : 1;
        }
        double tolerated = Math.max(DETOUR / 4, spilloverWaitMultiple * lowestLatency(near));
        double pressure = (waiting(near, now) - waiting(far, now) - tolerated) / (DETOUR / 2);
        return Math.max(-1, Math.min(1, pressure));
    }

    private static boolean allFull(List<Upstream> upstreams, long now) {
        return upstreams.stream().allMatch(upstream -> upstream.full(now));
    }

    private static long lowestLatency(List<Upstream> upstreams) {
        return upstreams.stream().mapToLong(Upstream::lowestLatency).min().orElse(0);
    }

    private static long waiting(List<Upstream> upstreams, long now) {
        return upstreams.stream()
                .mapToLong(upstream -> upstream.waiting(now))
                .min()
                .orElse(0);
    }
}
