package org.plantainshunt.routing;

import java.util.concurrent.TimeUnit;

import org.plantainshunt.configuration.PriorityClass;

/**
 * This node's share of the low-bandwidth link between two regions, as a token bucket of bytes.
 *
 * <p>The share is 90 % of the link's bandwidth divided by the nodes of the region, because the nodes don't coordinate.
 * Classes below {@link PriorityClass#IMPORTANT} may take tokens only while more than half of the burst is left, and
 * never from the other half: what a large call of such a class needs beyond that is a debt of the lower classes, which
 * are refused until it is repaid. The important classes may overdraw by one call, since a call larger than the burst
 * could never pass otherwise.
 *
 * <p>Confined to one thread.
 */
public final class LinkBudget {
    /** The burst, in seconds at the full share; also the longest queue on the link if all nodes burst at once. */
    private static final double BURST_SECONDS = 0.25;

    /** Less than the full bandwidth, so that a queue on the link drains. */
    private static final double USED_SHARE = 0.9;

    /** The smallest burst in bytes, for nodes with a small share: four chunks of the inner protocol. */
    private static final double MIN_BURST = 65_536;

    private static final double NANOSECONDS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private double bytesPerSecond;
    private double burst;
    private double tokens;
    private double lowerDebt;
    private long refilledAt = Long.MIN_VALUE;

    /**
     * Creates a full bucket.
     *
     * @param bitsPerSecond the link's bandwidth one way
     * @param nodesInRegion the number of nodes that share the link, at least 1
     */
    public LinkBudget(long bitsPerSecond, int nodesInRegion) {
        configure(bitsPerSecond, nodesInRegion);
        tokens = burst;
    }

    /** Changes the bandwidth in bits per second and the number of nodes; keeps the tokens, up to the new burst. */
    public void configure(long bitsPerSecond, int nodesInRegion) {
        bytesPerSecond = USED_SHARE * bitsPerSecond / 8.0 / Math.max(1, nodesInRegion);
        burst = Math.max(MIN_BURST, bytesPerSecond * BURST_SECONDS);
        tokens = Math.min(tokens, burst);
    }

    /**
     * Takes the tokens for a call.
     *
     * @param priorityClass the class of the call
     * @param bytes the bytes to send, 0 or more
     * @param now the time in nanoseconds
     * @return whether the call may be sent; if not, it is refused with result code 1110 ({@code LINK_BUDGET_SPENT})
     */
    public boolean tryTake(PriorityClass priorityClass, long bytes, long now) {
        refill(now);
        if (priorityClass.compareTo(PriorityClass.IMPORTANT) > 0) {
            return tryTakeLower(bytes);
        }
        if (tokens <= 0) {
            return false;
        }
        tokens -= bytes;
        return true;
    }

    private boolean tryTakeLower(long bytes) {
        double free = tokens - burst / 2;
        if (free <= 0 || lowerDebt > 0) {
            return false;
        }
        double paid = Math.min(free, bytes);
        tokens -= paid;
        lowerDebt = bytes - paid;
        return true;
    }

    /** Refills the half that is reserved for important classes, then repays the debt, then refills the rest. */
    private void refill(long now) {
        if (refilledAt != Long.MIN_VALUE && now > refilledAt) {
            double refill = bytesPerSecond * (now - refilledAt) / NANOSECONDS_PER_SECOND;
            double reserve = Math.max(0, Math.min(refill, burst / 2 - tokens));
            double repaid = Math.min(lowerDebt, refill - reserve);
            lowerDebt -= repaid;
            tokens = Math.min(burst, tokens + refill - repaid);
        }
        refilledAt = now;
    }
}
