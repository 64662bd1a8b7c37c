package org.plantainshunt.bench.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

import org.plantainshunt.bench.policy.Conditions.ServerLocation;
import org.plantainshunt.bench.policy.Conditions.Slowdown;

/**
 * A simulated backend server with a fixed number of slots, log-normal service times and an unbounded FIFO accept queue.
 *
 * <p>A call holds its slot until it is answered, even while the server waits for its own downstream calls. Confined to
 * one thread.
 */
final class BackendServer {
    static final int STRAGGLER_FACTOR = 100;
    /** The sigma of the log-normal service time; with this value the p99 is 2.8 times the mean. */
    private static final double SIGMA = 0.5;

    private final VirtualClock clock;
    private final RandomGenerator random;
    private final ServerLocation location;
    private final Slowdown slowdown;
    private final int slots;
    private final Deque<Runnable> acceptQueue = new ArrayDeque<>();
    private int busySlots;

    BackendServer(VirtualClock clock, RandomGenerator random, ServerLocation location, Slowdown slowdown, int slots) {
        this.clock = clock;
        this.random = random;
        this.location = location;
        this.slowdown = slowdown;
        this.slots = slots;
    }

    /** Runs a call's own work, without its downstream calls, as soon as a slot is free. */
    void run(InboundCall call, Runnable ownWorkDone) {
        if (busySlots < slots) {
            startWork(call, ownWorkDone);
        } else {
            acceptQueue.add(() -> startWork(call, ownWorkDone));
        }
    }

    /** Frees the slot of a call and starts calls from the accept queue. */
    void release() {
        busySlots--;
        while (busySlots < slots && !acceptQueue.isEmpty()) {
            acceptQueue.poll().run();
        }
    }

    /** Returns the number of calls that hold a slot or wait for one. */
    int inFlight() {
        return busySlots + acceptQueue.size();
    }

    private void startWork(InboundCall call, Runnable ownWorkDone) {
        if (call.state() == InboundCall.State.ENDED) {
            return;
        }
        busySlots++;
        call.setHoldsSlot();
        clock.schedule(serviceTime(call), () -> {
            if (call.state() != InboundCall.State.ENDED) {
                ownWorkDone.run();
            }
        });
    }

    private long serviceTime(InboundCall call) {
        double logNormalFactor = Math.exp(SIGMA * random.nextGaussian() - SIGMA * SIGMA / 2);
        double stragglerFactor = call.outboundCall.request.straggler ? STRAGGLER_FACTOR : 1;
        return (long) (call.outboundCall.kindProfile.meanNanos()
                * logNormalFactor
                * stragglerFactor
                * slowdown.factor(location, clock.now()));
    }
}
