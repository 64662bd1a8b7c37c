package org.plantainshunt.standins;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import ratpack.handling.Context;

/**
 * The health and load endpoints of a backend server stand-in, which can lag behind its actual state.
 *
 * <p>Thread-safe.
 */
final class ServerReports {
    private final int slots;
    private final IntSupplier busy;
    private final LaggedValue<Health> health = new LaggedValue<>(Health.SERVING);
    private final LaggedValue<Integer> inFlight = new LaggedValue<>(0);
    private volatile long lagNanos;

    ServerReports(int slots, long lagMilliseconds, IntSupplier busy) {
        this.slots = slots;
        this.busy = busy;
        setLagMilliseconds(lagMilliseconds);
    }

    /** The health state that the server reports. */
    enum Health {
        /** Accepts requests. */
        SERVING,
        /** Shutting down; should get no new requests. */
        DRAINING,
        /** Cannot process requests. */
        FAILING
    }

    void setLagMilliseconds(long milliseconds) {
        lagNanos = TimeUnit.MILLISECONDS.toNanos(milliseconds);
    }

    void setHealth(Health next) {
        health.set(next, System.nanoTime(), lagNanos);
    }

    boolean draining() {
        return health.latest() == Health.DRAINING;
    }

    void loadChanged() {
        inFlight.set(busy.getAsInt(), System.nanoTime(), lagNanos);
    }

    void health(Context context) {
        Health reported = health.get(System.nanoTime(), lagNanos);
        context.getResponse().send(reported.name().toLowerCase(Locale.ROOT));
    }

    void load(Context context) {
        int reported = inFlight.get(System.nanoTime(), lagNanos);
        context.getResponse().send("application/json", "{\"inFlight\":" + reported + ",\"slots\":" + slots + "}");
    }
}
