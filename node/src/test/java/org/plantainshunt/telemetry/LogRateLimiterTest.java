package org.plantainshunt.telemetry;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LogRateLimiterTest {
    private final Counter dropped = new Counter();
    private final LogRateLimiter limiter = new LogRateLimiter(dropped);

    /** Guards against an overload that fills the log, and against dropped lines that are not counted. */
    @Test
    void linesOverTheLimitAreCounted() {
        int written = 0;
        for (int line = 0; line < 500; line++) {
            written += limiter.tryAcquire(TimeUnit.SECONDS.toNanos(5) + line) ? 1 : 0;
        }
        assertEquals(100, written);
        assertEquals(400, dropped.getCount());
    }

    @Test
    void limitAppliesToEachSecondSeparately() {
        for (int line = 0; line < 500; line++) {
            limiter.tryAcquire(line);
        }
        assertTrue(limiter.tryAcquire(TimeUnit.SECONDS.toNanos(1)));
    }
}
