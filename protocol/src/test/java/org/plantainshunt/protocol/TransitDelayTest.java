package org.plantainshunt.protocol;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against running expired calls after a process pause, when frames carry an outdated remaining time. */
class TransitDelayTest {
    private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long PEER_CLOCK_OFFSET = TimeUnit.HOURS.toNanos(5);

    private final TransitDelay delay = new TransitDelay(PEER_CLOCK_OFFSET, 20 * MILLISECOND);

    @Test
    void frameThatWaitedInTheSocketIsLate() {
        assertEquals(0, delay.excessNanoseconds(PEER_CLOCK_OFFSET + 100 * MILLISECOND, 110 * MILLISECOND));
        assertEquals(
                3000 * MILLISECOND, delay.excessNanoseconds(PEER_CLOCK_OFFSET + 200 * MILLISECOND, 3210 * MILLISECOND));
    }

    @Test
    void handshakeIsTheBaselineOfTheFirstFrame() {
        assertEquals(
                2000 * MILLISECOND, delay.excessNanoseconds(PEER_CLOCK_OFFSET + 30 * MILLISECOND, 2050 * MILLISECOND));
    }

    @Test
    void baselineExpiresAfterClockDrift() {
        long drifted = TimeUnit.MINUTES.toNanos(3);
        delay.excessNanoseconds(PEER_CLOCK_OFFSET + drifted, drifted + 60 * MILLISECOND);
        long later = drifted + TimeUnit.SECONDS.toNanos(90);
        assertEquals(0, delay.excessNanoseconds(PEER_CLOCK_OFFSET + later, later + 60 * MILLISECOND));
    }
}
