package org.plantainshunt.control;

import org.junit.jupiter.api.Test;
import org.plantainshunt.control.HealthWatch.Health;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a missed drain, and against failures of an unreliable endpoint that take effect too early. */
class HealthWatchTest {
    private final HealthWatch watch = new HealthWatch();

    @Test
    void drainingCountsAtOnceAndEndsWithServing() {
        assertFalse(watch.answered(Health.SERVING));
        assertTrue(watch.answered(Health.DRAINING));
        assertTrue(watch.draining());
        assertFalse(watch.answered(Health.DRAINING));
        assertTrue(watch.answered(Health.SERVING));
        assertFalse(watch.draining());
    }

    @Test
    void failuresKeepTheDrain() {
        watch.answered(Health.DRAINING);
        for (int i = 0; i < 5; i++) {
            assertFalse(watch.answered(Health.FAILING));
        }
        assertTrue(watch.draining());
    }

    @Test
    void onlyThreeFailuresInARowCount() {
        for (Health health : new Health[] {Health.FAILING, Health.FAILING, Health.SERVING, Health.FAILING}) {
            watch.answered(health);
            assertFalse(watch.failing());
        }
        watch.answered(Health.FAILING);
        watch.answered(Health.FAILING);
        assertTrue(watch.failing());
        assertFalse(watch.draining());
    }
}
