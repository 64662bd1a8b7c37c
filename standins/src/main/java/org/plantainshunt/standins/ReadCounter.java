package org.plantainshunt.standins;

/**
 * Counts reads in total and per second.
 *
 * <p>Thread-safe.
 */
final class ReadCounter {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private long total;
    private long notModified;
    private long second;
    private long currentSecondReads;
    private long previousSecondReads;
    private long maxReadsPerSecond;

    synchronized void count(boolean unchanged, long now) {
        advance(now);
        total++;
        currentSecondReads++;
        maxReadsPerSecond = Math.max(maxReadsPerSecond, currentSecondReads);
        if (unchanged) {
            notModified++;
        }
    }

    synchronized Reads snapshot(long now) {
        advance(now);
        return new Reads(total, notModified, previousSecondReads, maxReadsPerSecond);
    }

    private void advance(long now) {
        long current = Math.floorDiv(now, NANOS_PER_SECOND);
        if (current == second) {
            return;
        }
        previousSecondReads = current == second + 1 ? currentSecondReads : 0;
        currentSecondReads = 0;
        second = current;
    }

    /**
     * Read counts of one endpoint.
     *
     * @param total reads since the start
     * @param notModified reads with the current entity tag, which get status 304
     * @param perSecond reads in the last complete second
     * @param largestPerSecond maximum number of reads in one second so far
     */
    record Reads(long total, long notModified, long perSecond, long largestPerSecond) {}
}
