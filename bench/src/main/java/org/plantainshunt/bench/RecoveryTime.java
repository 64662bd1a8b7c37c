package org.plantainshunt.bench;

import java.util.Map;
import java.util.OptionalInt;

/**
 * Measures how long goodput takes to recover after a trigger, in whole seconds.
 *
 * <p>Goodput of a second is compared with the demand of the same second, because demand at the small rates of the
 * quickstart varies more from second to second than the tolerance. Stateless.
 */
final class RecoveryTime {
    /** Answers of works due in the last moments of a second come in the next one, hence the wide tolerance. */
    private static final double TOLERANCE = 0.15;

    /** Below this share of the demand the time before the trigger is no measure. */
    private static final double LEAST_BEFORE = 0.8;

    private RecoveryTime() {}

    /**
     * Returns the seconds from the end of the trigger to the first second from which goodput stays as it was before.
     *
     * @param offered works due, by second
     * @param whole whole answers within the deadline, by second
     * @param triggerStart the second in which the trigger began
     * @param triggerEnd the second in which it ended
     * @param end the second in which the load ended
     * @return the seconds, or nothing if goodput did not recover or was poor before the trigger already
     */
    static OptionalInt seconds(
            Map<Integer, Long> offered, Map<Integer, Long> whole, int triggerStart, int triggerEnd, int end) {
        double before = sum(whole, 0, triggerStart) / Math.max(1, sum(offered, 0, triggerStart));
        if (before < LEAST_BEFORE) {
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
