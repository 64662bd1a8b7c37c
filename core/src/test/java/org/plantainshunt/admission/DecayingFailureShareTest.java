package org.plantainshunt.admission;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class DecayingFailureShareTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final DecayingFailureShare share = new DecayingFailureShare(2 * SECOND);

    @Test
    void shareOfNoResultsIsZero() {
        assertEquals(0, share.share(SECOND));
        assertEquals(0, share.weight(SECOND));
    }

    @Test
    void latestResultsWeighMost() {
        share.add(true, 0);
        share.add(false, 2 * SECOND);
        assertEquals(1 + Math.exp(-1), share.weight(2 * SECOND), 1e-9);
        assertEquals(Math.exp(-1) / (1 + Math.exp(-1)), share.share(2 * SECOND), 1e-9);
    }

    @Test
    void shareStaysWhileTheWeightDecays() {
        share.add(true, 0);
        share.add(false, 0);
        assertEquals(0.5, share.share(9 * SECOND), 1e-9);
    }
}
