package org.plantainshunt.protocol;

import java.util.concurrent.TimeUnit;

/**
 * Estimates how much longer than usual a frame was in transit, without requiring synchronized clocks.
 *
 * <p>The time to the deadline that the start frame of a call states is out of date if the frame waited in the socket of
 * a paused process or behind a stalled link. The difference between the receiver's and the sender's monotonic clock
 * contains an unknown constant offset, so the smallest observed difference counts as zero delay. It expires after one
 * to two minutes, or later if few calls arrive, because clocks drift. Confined to the event loop.
 */
final class TransitDelay {
    /** Minimum length of a window; the baseline is the minimum over the current and the previous window. */
    private static final long WINDOW_NANOSECONDS = TimeUnit.MINUTES.toNanos(1);

    private long smallest;
    private long previousSmallest;
    private long windowStart;

    /** Takes the clock readings of both sides at the handshake, in nanoseconds, as the initial baseline. */
    TransitDelay(long peerClock, long ownClock) {
        smallest = ownClock - peerClock;
        previousSmallest = smallest;
        windowStart = ownClock;
    }

    /** Returns the transit time in excess of the recent minimum, in nanoseconds. */
    long excessNanoseconds(long sentAt, long receivedAt) {
        if (receivedAt - windowStart > WINDOW_NANOSECONDS) {
            windowStart = receivedAt;
            previousSmallest = smallest;
            smallest = receivedAt - sentAt;
        }
        long difference = receivedAt - sentAt;
        smallest = Math.min(smallest, difference);
        return difference - Math.min(smallest, previousSmallest);
    }
}
