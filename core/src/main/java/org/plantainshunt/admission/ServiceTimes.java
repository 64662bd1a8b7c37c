package org.plantainshunt.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The service times of each kind of request, as quantiles over its last 64 calls.
 *
 * <p>The median over the last calls follows a slow-down and its end within 40 calls, which that of a cumulative or a
 * decaying histogram does not. Quantiles are recomputed after every eighth sample. Confined to one thread.
 */
final class ServiceTimes {
    /** The result for a kind with too few samples. */
    static final long UNKNOWN = 0;

    private static final int WINDOW = 64;
    private static final int REFRESH_INTERVAL = 8;
    /** Nine calls in ten take longer, so a call with less time left very likely misses its deadline. */
    private static final int LOW_PERCENTILE = 10;
    /**
     * The time since the last sample for which the low percentile is used, in nanoseconds: a kind whose calls are all
     * refused yields no samples, so an estimate must not outlive its samples for long.
     */
    private static final long LOW_PERCENTILE_VALID_FOR = 1_000_000_000L;

    private final Map<String, Samples> byKind = new HashMap<>();

    /** The last samples of one kind. */
    private static final class Samples {
        private final long[] ring = new long[WINDOW];
        private long count;
        private long median = UNKNOWN;
        private long lowPercentile = UNKNOWN;
        private long latest;

        private void add(long sample, long now) {
            ring[(int) (count % WINDOW)] = sample;
            count++;
            latest = now;
            if (count % REFRESH_INTERVAL == 0) {
                refresh();
            }
        }

        private void refresh() {
            int size = (int) Math.min(count, WINDOW);
            long[] sorted = Arrays.copyOf(ring, size);
            Arrays.sort(sorted);
            median = sorted[size / 2];
            lowPercentile = sorted[size * LOW_PERCENTILE / 100];
        }
    }

    /** Adds the duration of a call. */
    void add(String kind, long duration, long now) {
        byKind.computeIfAbsent(kind, unused -> new Samples()).add(duration, now);
    }

    /** Returns the median, in nanoseconds, or {@link #UNKNOWN} before eight samples. */
    long median(String kind) {
        Samples samples = byKind.get(kind);
        return samples == null ? UNKNOWN : samples.median;
    }

    /** Returns a duration that nine calls in ten exceed, in nanoseconds, or {@link #UNKNOWN}. */
    long lowPercentile(String kind, long now) {
        Samples samples = byKind.get(kind);
        return samples == null || now - samples.latest > LOW_PERCENTILE_VALID_FOR ? UNKNOWN : samples.lowPercentile;
    }
}
