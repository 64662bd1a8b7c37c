package org.plantainshunt.control;

import org.junit.jupiter.api.Test;
import org.plantainshunt.control.HealthWatch.Health;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a missed drain, and against failures of an unreliable endpoint that are reported too early. */
class HealthWatchTest {
    private final HealthWatch watch = new HealthWatch();

    @Test
    void drainingCountsAtOnceAndEndsWithServing() {
        assertFalse(watch.update(Health.SERVING));
        assertTrue(watch.update(Health.DRAINING));
        assertTrue(watch.draining());
        assertFalse(watch.update(Health.DRAINING));
        assertTrue(watch.update(Health.SERVING));
        assertFalse(watch.draining());
    }

    @Test
    void failuresKeepTheDrain() {
        watch.update(Health.DRAINING);
        for (int i = 0; i < 5; i++) {
            assertFalse(watch.update(Health.FAILING));
        }
        assertTrue(watch.draining());
    }

    @Test
    void onlyThreeFailuresInARowCount() {
        for (Health health : new Health[] {Health.FAILING, Health.FAILING, Health.SERVING, Health.FAILING}) {
            watch.update(health);
            assertFalse(watch.failing());
        }
        watch.update(Health.FAILING);
        watch.update(Health.FAILING);
        assertTrue(watch.failing());
        assertFalse(watch.draining());
    }
}
