package org.plantainshunt.routing;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The share of a service's calls that leave the region because its servers there are full.
 *
 * <p>The share moves while the waiting time in the region differs from that outside by more or less than the detour is
 * worth. It moves gradually since the waiting time follows the share late: a node that sends all calls to the side that
 * looks better at the moment fills the two sides in turn. Confined to one thread.
 */
final class Spill {
    /** The time in which the share moves from 0 to 1 at full pressure, in nanoseconds; shorter ones overshoot. */
    private static final double LEAVE = TimeUnit.SECONDS.toNanos(1);

    /** The time in which the share moves back, in nanoseconds; longer, since waiting costs more than the detour. */
    private static final double RETURN = TimeUnit.SECONDS.toNanos(6);

    /** The longest time without a call that counts as one step, in nanoseconds. */
    private static final long LONGEST_STEP = TimeUnit.MILLISECONDS.toNanos(100);

    /** The detour over the link to another region, in nanoseconds. */
    private static final double DETOUR = Distance.OTHER_REGION.roundTrip();

    private double share;
    private long movedAt;

    /**
     * Moves the share to a time in nanoseconds and returns it, 0 to 1.
     *
     * @param borneWaiting the waiting time in the region, as a multiple of the lowest latency, that keeps calls there
     */
    double share(List<Upstream> near, List<Upstream> far, double borneWaiting, long now) {
        long elapsed = Math.max(0, Math.min(LONGEST_STEP, now - movedAt));
        movedAt = now;
        double pressure = pressure(near, far, borneWaiting, now);
        share = Math.max(0, Math.min(1, share + pressure * elapsed / (pressure > 0 ? LEAVE : RETURN)));
        return share;
    }

    /** Returns how much the share should move, -1 to 1. */
    private static double pressure(List<Upstream> near, List<Upstream> far, double borneWaiting, long now) {
        if (allFull(near, now)) {
            return allFull(far, now) ? 0 : 1;
        }
        double tolerated = Math.max(DETOUR / 4, borneWaiting * lowest(near));
        double pressure = (waiting(near, now) - waiting(far, now) - tolerated) / (DETOUR / 2);
        return Math.max(-1, Math.min(1, pressure));
    }

    private static boolean allFull(List<Upstream> upstreams, long now) {
        return upstreams.stream().allMatch(upstream -> upstream.full(now));
    }

    private static long lowest(List<Upstream> upstreams) {
        return upstreams.stream().mapToLong(Upstream::lowestLatency).min().orElse(0);
    }

    private static long waiting(List<Upstream> upstreams, long now) {
        return upstreams.stream()
                .mapToLong(upstream -> upstream.waiting(now))
                .min()
                .orElse(0);
    }
}
