package org.plantainshunt.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.google.common.math.StatsAccumulator;

/**
 * Finds the number of running calls at which a saturated backend server ends the most work.
 *
 * <p>Some servers slow down when they are nearly full, so that with a few calls less they end more of them. While calls
 * wait, short periods with the current limit alternate with periods with a neighbouring one. By Little's law the work
 * ended per second is the number of running calls divided by their mean duration, relative to the mean of their kind.
 * Two adjacent periods make a pair, and the gains of the pairs are averaged: a change of the server's speed affects one
 * of them and shows as variance, not as a gain. If a server's calls only wait for another service, their duration does
 * not depend on the limit, and the highest limit is kept. Confined to one thread.
 */
final class SaturationPoint {
    /** With fewer slots, one call less costs more than a server gains by it. */
    private static final int MIN_SLOTS = 8;

    /** One step changes the limit by a sixteenth of the slots. */
    private static final double STEP_DIVISOR = 16;

    private static final double MIN_SHARE_OF_SLOTS = 0.5;

    /** The gain in throughput from which another limit is better. */
    private static final double MIN_LOG_GAIN = Math.log(1.02);

    /** The standard errors by which a gain must exceed the minimum, and by which it must miss it to end a trial. */
    private static final double ACCEPT_ERRORS = 2.5;

    private static final double REJECT_ERRORS = 1;

    /** The pairs of periods from which a trial may be decided, and after which an undecided one ends. */
    private static final int MIN_PAIRS = 4;

    private static final int MAX_PAIRS = 30;

    /** Caps a relative duration, since single stragglers say nothing about the limit. */
    private static final double MAX_RELATIVE_DURATION = 4;

    private static final double MIN_REFERENCE_WEIGHT = 1.0 / 512;

    /** A trial is given up if the slots are not full for this long, in nanoseconds. */
    private static final long ABANDONED_AFTER = TimeUnit.SECONDS.toNanos(1);

    private static final long FIRST_PAUSE = TimeUnit.SECONDS.toNanos(2);
    private static final long LONGEST_PAUSE = TimeUnit.SECONDS.toNanos(30);

    private final Map<String, Reference> references = new HashMap<>();
    private int slots;
    private int base;
    private int candidate;
    private boolean testsCandidate;
    private int direction = -1;
    private StatsAccumulator baseDurations = new StatsAccumulator();
    private StatsAccumulator candidateDurations = new StatsAccumulator();
    private StatsAccumulator logGains = new StatsAccumulator();
    private int period;
    private int endedInPeriod;
    private long pause = FIRST_PAUSE;
    private long resumesAt;
    private long lastStart;
    private boolean started;

    SaturationPoint(int slots) {
        configure(slots);
    }

    /** Returns the number of calls that may run now. */
    int limit() {
        return testsCandidate ? candidate : base;
    }

    /** Applies a new number of slots, with which the search begins anew. */
    void configure(int newSlots) {
        slots = newSlots;
        base = newSlots;
        direction = -1;
        beginTrial();
    }

    /** Counts a call that has just got a slot; only calls that start while the slots are full are compared. */
    void started(CallEntry entry, int running, long now) {
        if (slots < MIN_SLOTS || running < limit()) {
            return;
        }
        if (!started) {
            started = true;
            resumesAt = now;
        } else if (now - lastStart > ABANDONED_AFTER) {
            beginTrial();
        }
        lastStart = now;
        if (now - resumesAt >= 0) {
            entry.saturationPeriod = period;
        }
    }

    /** Compares a call that was answered after a duration in nanoseconds. */
    void answered(CallEntry entry, long duration, long now) {
        double relative = references
                .computeIfAbsent(entry.kind(), kind -> new Reference())
                .relative(duration);
        if (entry.saturationPeriod != period) {
            return;
        }
        (testsCandidate ? candidateDurations : baseDurations).add(Math.min(MAX_RELATIVE_DURATION, relative));
        endedInPeriod++;
        if (endedInPeriod >= limit()) {
            endPeriod(now);
        }
    }

    private void endPeriod(long now) {
        period++;
        endedInPeriod = 0;
        boolean endsPair = baseDurations.count() > 0 && candidateDurations.count() > 0;
        if (!endsPair) {
            testsCandidate = !testsCandidate;
            return;
        }
        // The next pair begins with the limit that this one ends with, which cancels a steady change of speed.
        logGains.add(Math.log(candidate / candidateDurations.mean()) - Math.log(base / baseDurations.mean()));
        baseDurations = new StatsAccumulator();
        candidateDurations = new StatsAccumulator();
        if (logGains.count() >= MIN_PAIRS) {
            decide(now);
        }
    }

    private void decide(long now) {
        double error = logGains.sampleStandardDeviation() / Math.sqrt(logGains.count());
        if (logGains.mean() - ACCEPT_ERRORS * error > MIN_LOG_GAIN) {
            base = candidate;
            pause = FIRST_PAUSE;
            beginTrial();
        } else if (logGains.mean() + REJECT_ERRORS * error < MIN_LOG_GAIN || logGains.count() >= MAX_PAIRS) {
            direction = -direction;
            resumesAt = now + pause;
            pause = Math.min(LONGEST_PAUSE, 2 * pause);
            beginTrial();
        }
    }

    private void beginTrial() {
        int step = (int) Math.ceil(slots / STEP_DIVISOR);
        if (base + direction * step > slots || base + direction * step < MIN_SHARE_OF_SLOTS * slots) {
            direction = -direction;
        }
        candidate = base + direction * step;
        testsCandidate = false;
        baseDurations = new StatsAccumulator();
        candidateDurations = new StatsAccumulator();
        logGains = new StatsAccumulator();
        period++;
        endedInPeriod = 0;
    }

    /** The mean duration of the calls of a kind. */
    private static final class Reference {
        private double mean;
        private long count;

        /** Returns a duration as a multiple of the mean, and adds it to the mean. */
        double relative(long duration) {
            count++;
            mean += Math.max(MIN_REFERENCE_WEIGHT, 1.0 / count) * (duration - mean);
            return mean > 0 ? duration / mean : 1;
        }
    }
}
