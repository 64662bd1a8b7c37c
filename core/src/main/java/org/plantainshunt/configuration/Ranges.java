package org.plantainshunt.configuration;

/** The ranges of the values in a document. */
final class Ranges {
    /**
     * Eighteen digits fit a signed 64-bit number and leave room for time stamps in microseconds; those in nanoseconds
     * have nineteen.
     */
    static final Range VERSION = new Range("1", "999999999999999999");

    static final Range BANDWIDTH = new Range("1 kbit/s", "1000000 Mbit/s");
    static final Range LATENCY = new Range("0 ms", "10 s");
    static final Range SLOTS = new Range("1", "100000");
    static final Range CONNECTIONS = new Range("1", "100000");
    static final Range QUEUE = new Range("0", "1000000");
    static final Range TARGET_QUEUE_DELAY = new Range("1 ms", "10 s");
    static final Range LONG_WORK_SHARE = new Range("0 %", "100 %");
    static final Range LONG_WORK_AFTER = new Range("2", "1000");
    static final Range DEADLINE = new Range("1 ms", "30 s");
    static final Range CALL_COUNT = new Range("1", "1000");
    static final Range RETRIES_PER_REQUEST = new Range("0", "100");
    static final Range RETRY_BUDGET = new Range("0 %", "100 %");
    static final Range TICKET_USE_WITHIN = new Range("1 s", "10 min");
    static final Range OUTCOME_KEPT_FOR = new Range("1 s", "60 min");
    static final Range LARGEST_BODY = new Range("1 KiB", "16 MiB");
    static final Range LARGEST_ANSWER = new Range("1 KiB", "16 MiB");

    private Ranges() {}
}
