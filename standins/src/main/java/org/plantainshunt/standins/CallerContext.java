package org.plantainshunt.standins;

import java.util.SplittableRandom;
import java.util.function.Consumer;

import ratpack.http.client.HttpClient;

/**
 * What the works of one caller share.
 *
 * <p>Safe for use by any thread if the consumer of attempts is.
 */
final class CallerContext {
    private final LoadPlan plan;
    private final HttpClient client;
    private final long startedAt;
    private final Consumer<AttemptRecord> attemptListener;
    private final SplittableRandom random;

    CallerContext(LoadPlan plan, HttpClient client, long startedAt, Consumer<AttemptRecord> attemptListener) {
        this.plan = plan;
        this.client = client;
        this.startedAt = startedAt;
        this.attemptListener = attemptListener;
        this.random = new SplittableRandom(plan.seed());
    }

    LoadPlan plan() {
        return plan;
    }

    HttpClient client() {
        return client;
    }

    /** Returns the nanosecond of the monotonic clock at which the load began. */
    long startedAt() {
        return startedAt;
    }

    Consumer<AttemptRecord> attemptListener() {
        return attemptListener;
    }

    synchronized Endpoint randomEntry() {
        return plan.entries().get(random.nextInt(plan.entries().size()));
    }

    /** Returns a time between half of the given one and the whole of it, so that callers do not repeat in step. */
    synchronized long jitter(long milliseconds) {
        return milliseconds / 2 + random.nextLong(milliseconds / 2 + 1);
    }
}
