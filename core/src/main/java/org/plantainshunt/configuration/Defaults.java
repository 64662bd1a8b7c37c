package org.plantainshunt.configuration;

import java.time.Duration;

/** The default values of optional keys. */
final class Defaults {
    static final Duration TARGET_QUEUE_DELAY = Duration.ofMillis(20);
    static final double LONG_WORK_SHARE = 0.2;
    static final int LONG_WORK_AFTER = 10;

    /** With a queue of twice the slots, the last call in a full queue waits for about two service times. */
    static final int QUEUE_PER_SLOT = 2;

    static final Policy POLICY =
            new Policy(3, 0.1, Duration.ofSeconds(30), Duration.ofSeconds(300), 1L << 20, 1L << 20);

    private Defaults() {}
}
