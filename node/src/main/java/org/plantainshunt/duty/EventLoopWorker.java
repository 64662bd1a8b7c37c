package org.plantainshunt.duty;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.EventLoop;
import org.plantainshunt.protocol.LoopTimer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs tasks on an event loop that also handles the node's connections.
 *
 * <p>On a VM with about one core, passing each call between threads costs more than the decisions themselves. Tasks run
 * in the order of submission, and a task that is submitted by another one runs after it. New work is accepted only
 * while less than half of the capacity is used, as in a {@link Duty}. Exceptions of tasks are logged. Safe for use by
 * any thread.
 */
public final class EventLoopWorker implements Worker {
    private static final Logger LOGGER = LoggerFactory.getLogger(EventLoopWorker.class);

    private final EventLoop loop;
    private final String name;
    private final int room;
    private final AtomicInteger waiting = new AtomicInteger();
    private final LoopTimer ticks;

    /**
     * Starts the periodic task.
     *
     * @param loop the event loop, which this worker does not shut down
     * @param name the name of the worker, for log lines
     * @param room the number of tasks that may wait
     * @param tickEvery the time between two runs of {@code tick}
     * @param tick a periodic task
     */
    public EventLoopWorker(EventLoop loop, String name, int room, Duration tickEvery, Runnable tick) {
        this.loop = loop;
        this.name = name;
        this.room = room;
        this.ticks = LoopTimer.every(loop, tickEvery, name, tick);
    }

    @Override
    public boolean offer(Runnable task) {
        if (waiting.get() >= room / 2) {
            return false;
        }
        submit(task);
        return true;
    }

    @Override
    public void submit(Runnable task) {
        waiting.incrementAndGet();
        loop.execute(() -> {
            waiting.decrementAndGet();
            run(task);
        });
    }

    @Override
    public double fill() {
        return (double) waiting.get() / room;
    }

    @Override
    public void close() {
        ticks.cancel();
    }

    private void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOGGER.error("a task of worker {} failed", name, e);
        }
    }
}
