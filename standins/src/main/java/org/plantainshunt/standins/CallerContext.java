package org.plantainshunt.standins;

import java.util.SplittableRandom;
import java.util.function.Consumer;

import ratpack.http.client.HttpClient;

/**
 * State shared by all requests of one caller.
 *
 * <p>Thread-safe if the attempt listener is.
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

    /** Returns the {@link System#nanoTime} at which the counted load starts, after the warm-up. */
    long startedAt() {
        return startedAt;
    }

    Consumer<AttemptRecord> attemptListener() {
        return attemptListener;
    }

    synchronized Endpoint randomEntry() {
        return plan.entries().get(random.nextInt(plan.entries().size()));
    }

    /** Returns a random time between half and all of the given one, so that retries are not synchronised. */
    synchronized long jitter(long milliseconds) {
        return milliseconds / 2 + random.nextLong(milliseconds / 2 + 1);
    }
}
