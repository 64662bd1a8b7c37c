package org.plantainshunt.bench;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class RecoveryTimeTest {
    /** Guards against a recovery counted from a single good second after which goodput falls again. */
    @Test
    void countsToTheSecondFromWhichGoodputStaysRecovered() {
        assertEquals(OptionalInt.of(2), recovery(100, 100, 10, 10, 95, 20, 100, 98));
        assertEquals(OptionalInt.of(0), recovery(100, 100, 10, 10, 99, 99, 99, 99));
    }

    /** Guards against a recovery time reported for goodput that was low from the start or never recovered. */
    @Test
    void findsNoneIfGoodputWasLowBeforeOrStaysLow() {
        assertEquals(OptionalInt.empty(), recovery(30, 30, 10, 10, 30, 30, 30, 30));
        assertEquals(OptionalInt.empty(), recovery(100, 100, 10, 10, 95, 95, 95, 20));
    }

    /** Demand is 100 a second; the trigger lasts from second 2 to second 4. */
    private static OptionalInt recovery(long... whole) {
        Map<Integer, Long> offeredBySecond = new HashMap<>();
        Map<Integer, Long> wholeBySecond = new HashMap<>();
        for (int second = 0; second < whole.length; second++) {
            offeredBySecond.put(second, 100L);
            wholeBySecond.put(second, whole[second]);
        }
        return RecoveryTime.seconds(offeredBySecond, wholeBySecond, 2, 4, whole.length);
    }
}
