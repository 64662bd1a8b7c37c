package org.plantainshunt.bench.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

import org.plantainshunt.bench.policy.Conditions.Place;
import org.plantainshunt.bench.policy.Conditions.SlowDown;

/**
 * A fake backend server: slots, a log-normal service time, and an unbounded accept queue in order of arrival.
 *
 * <p>A call holds its slot until it is answered, also while the server waits for calls that it makes itself. Confined
 * to one thread.
 */
final class BackendServer {
    static final int STRAGGLER_COST = 100;
    /** With this value the p99 of the service time is 2.8 times its mean. */
    private static final double SIGMA = 0.5;

    private final VirtualClock clock;
    private final RandomGenerator random;
    private final Place place;
    private final SlowDown slowDown;
    private final int slots;
    private final Deque<Runnable> accepted = new ArrayDeque<>();
    private int busy;

    BackendServer(VirtualClock clock, RandomGenerator random, Place place, SlowDown slowDown, int slots) {
        this.clock = clock;
        this.random = random;
        this.place = place;
        this.slowDown = slowDown;
        this.slots = slots;
    }

    /** Runs the own work of a call as soon as a slot is free. */
    void run(InboundCall call, Runnable ownWorkDone) {
        if (busy < slots) {
            begin(call, ownWorkDone);
        } else {
            accepted.add(() -> begin(call, ownWorkDone));
        }
    }

    /** Frees the slot of a call that has begun. */
    void release() {
        busy--;
        while (busy < slots && !accepted.isEmpty()) {
            accepted.poll().run();
        }
    }

    /** Returns the calls that hold a slot or wait for one. */
    int inFlight() {
        return busy + accepted.size();
    }

    private void begin(InboundCall call, Runnable ownWorkDone) {
        if (call.state() == InboundCall.State.OVER) {
            return;
        }
        busy++;
        call.setOnSlot();
        clock.after(serviceTime(call), () -> {
            if (call.state() != InboundCall.State.OVER) {
                ownWorkDone.run();
            }
        });
    }

    private long serviceTime(InboundCall call) {
        double factor = Math.exp(SIGMA * random.nextGaussian() - SIGMA * SIGMA / 2);
        double straggling = call.call.request.straggler ? STRAGGLER_COST : 1;
        return (long) (call.call.work.meanNanos() * factor * straggling * slowDown.factor(place, clock.now()));
    }
}
