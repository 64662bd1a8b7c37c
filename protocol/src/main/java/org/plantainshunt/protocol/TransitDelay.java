package org.plantainshunt.protocol;

import java.util.concurrent.TimeUnit;

/**
 * Measures how much longer than usual a frame was under way, without comparing clocks of two VMs.
 *
 * <p>A frame that waited in the socket of a paused process, or behind a stalled link, carries a remaining time that no
 * longer holds. The difference between the receiver's and the sender's monotonic clock has an unknown constant part, so
 * the smallest difference seen counts as no delay. It is forgotten after one to two minutes, because clocks drift.
 * Confined to the event loop.
 */
final class TransitDelay {
    private static final long WINDOW = TimeUnit.MINUTES.toNanos(1);

    private long smallest;
    private long smallestBefore;
    private long windowBegan;

    /** Begins with the clocks that the two sides had at the handshake, in nanoseconds. */
    TransitDelay(long peerClock, long ownClock) {
        smallest = ownClock - peerClock;
        smallestBefore = smallest;
        windowBegan = ownClock;
    }

    /** Returns the time under way beyond the shortest one of late, in nanoseconds. */
    long excess(long sentAt, long receivedAt) {
        if (receivedAt - windowBegan > WINDOW) {
            windowBegan = receivedAt;
            smallestBefore = smallest;
            smallest = receivedAt - sentAt;
        }
        long difference = receivedAt - sentAt;
        smallest = Math.min(smallest, difference);
        return difference - Math.min(smallest, smallestBefore);
    }
}
