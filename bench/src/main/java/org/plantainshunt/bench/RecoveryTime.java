package org.plantainshunt.bench;

import java.util.Map;
import java.util.OptionalInt;

/**
 * Measures how long goodput takes to recover after a trigger, in whole seconds.
 *
 * <p>Goodput is compared with the demand of the same second, because at the low rates of the quickstart the demand
 * varies by more than the tolerance from second to second. Stateless.
 */
final class RecoveryTime {
    /** Wide, because work that is due at the end of a second is answered in the next one. */
    private static final double TOLERANCE = 0.15;

    /** If goodput before the trigger is below this share of the demand, it is no valid reference. */
    private static final double MIN_GOODPUT_BEFORE = 0.8;

    private RecoveryTime() {}

    /**
     * Returns the seconds from the end of the trigger to the first second from which goodput stays at its former level.
     *
     * @param offered the number of requests due, by second
     * @param whole the number of complete answers within the deadline, by second
     * @param triggerStart the second in which the trigger began
     * @param triggerEnd the second in which it ended
     * @param end the second in which the load ended
     * @return the seconds, or empty if goodput did not recover or was too low even before the trigger
     */
    static OptionalInt seconds(
            Map<Integer, Long> offered, Map<Integer, Long> whole, int triggerStart, int triggerEnd, int end) {
        double before = sum(whole, 0, triggerStart) / Math.max(1, sum(offered, 0, triggerStart));
        if (before < MIN_GOODPUT_BEFORE) {
            return OptionalInt.empty();
        }
        int second = end;
        while (second > triggerEnd
                && sum(whole, second - 1, second) >= (before - TOLERANCE) * sum(offered, second - 1, second)) {
            second--;
        }
        return second == end ? OptionalInt.empty() : OptionalInt.of(second - triggerEnd);
    }

    private static double sum(Map<Integer, Long> counts, int from, int to) {
        double sum = 0;
        for (int second = from; second < to; second++) {
            sum += counts.getOrDefault(second, 0L);
        }
        return sum;
    }
}
