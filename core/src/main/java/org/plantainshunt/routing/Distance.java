package org.plantainshunt.routing;

import java.util.concurrent.TimeUnit;

/** The network distance of a backend server from this node, nearest first. */
public enum Distance {
    /** In the same data centre. */
    SAME_DATA_CENTRE(TimeUnit.MICROSECONDS.toNanos(200)),
    /** In another data centre of the same region. */
    SAME_REGION(TimeUnit.MILLISECONDS.toNanos(3)),
    /** In another region, over a link of low bandwidth. */
    OTHER_REGION(TimeUnit.MILLISECONDS.toNanos(40));

    private final long roundTrip;

    Distance(long roundTrip) {
        this.roundTrip = roundTrip;
    }

    /** Returns an upper bound of the usual network round-trip time in known deployments, in nanoseconds. */
    public long roundTrip() {
        return roundTrip;
    }
}
