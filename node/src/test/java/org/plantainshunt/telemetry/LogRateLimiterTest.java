package org.plantainshunt.telemetry;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LogRateLimiterTest {
    private final Counter dropped = new Counter();
    private final LogRateLimiter budget = new LogRateLimiter(dropped);

    /** Guards against an overload that fills the log, and against dropped lines that are not counted. */
    @Test
    void linesOverTheBudgetAreCounted() {
        int written = 0;
        for (int line = 0; line < 500; line++) {
            written += budget.tryAcquire(TimeUnit.SECONDS.toNanos(5) + line) ? 1 : 0;
        }
        assertEquals(100, written);
        assertEquals(400, dropped.getCount());
    }

    @Test
    void eachSecondHasItsOwnBudget() {
        for (int line = 0; line < 500; line++) {
            budget.tryAcquire(line);
        }
        assertTrue(budget.tryAcquire(TimeUnit.SECONDS.toNanos(1)));
    }
}
