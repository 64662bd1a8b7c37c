package org.plantainshunt.bench.policy;

import java.util.List;

import org.plantainshunt.configuration.DataCentre;

/**
 * A simulated network with latency by distance and a FIFO queue for each direction of the link between the regions.
 *
 * <p>Confined to one thread.
 */
final class Network {
    private static final long SAME_VM_LATENCY = 20 * VirtualClock.MICROSECOND;
    private static final long SAME_DATA_CENTRE_LATENCY = 200 * VirtualClock.MICROSECOND;
    private static final int BITS_PER_BYTE = 8;

    private final VirtualClock clock;
    private final Deployment deployment;
    private final long[] linkFreeAt = new long[2];
    private final long[] linkBytes = new long[2];
    private final long countBytesFrom;

    /**
     * Creates the network.
     *
     * @param countBytesFrom the virtual time from which bytes over the link are counted
     */
    Network(VirtualClock clock, Deployment deployment, long countBytesFrom) {
        this.clock = clock;
        this.deployment = deployment;
        this.countBytesFrom = countBytesFrom;
    }

    /** Delivers a message between nodes after the latency and, between regions, the queueing delay of the link. */
    void send(Node from, Node to, int bytes, Runnable arrival) {
        clock.schedule(delay(from, to, bytes), arrival);
    }

    /** Returns the bytes sent over the link in a direction: 0 from region A to region B, 1 the other way. */
    long linkBytes(int direction) {
        return linkBytes[direction];
    }

    private long delay(Node from, Node to, int bytes) {
        if (from == to) {
            return SAME_VM_LATENCY;
        }
        if (from.dataCentre == to.dataCentre) {
            return SAME_DATA_CENTRE_LATENCY;
        }
        if (isSameRegion(from.dataCentre, to.dataCentre)) {
            return deployment.intraRegionLatencyNanos();
        }
        return enqueueOnLink(from, bytes) + deployment.link().latency().toNanos();
    }

    private long enqueueOnLink(Node from, int bytes) {
        int direction = from.region().equals(deployment.link().regionA()) ? 0 : 1;
        long transmissionTime =
                bytes * BITS_PER_BYTE * VirtualClock.SECOND / deployment.link().bitsPerSecond();
        linkFreeAt[direction] = Math.max(clock.now(), linkFreeAt[direction]) + transmissionTime;
        if (clock.now() >= countBytesFrom) {
            linkBytes[direction] += bytes;
        }
        return linkFreeAt[direction] - clock.now();
    }

    private boolean isSameRegion(int a, int b) {
        List<DataCentre> dataCentres = deployment.dataCentres();
        return dataCentres.get(a).region().equals(dataCentres.get(b).region());
    }
}
