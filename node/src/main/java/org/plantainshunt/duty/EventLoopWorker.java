package org.plantainshunt.duty;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.EventLoop;
import org.plantainshunt.protocol.LoopTimer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs tasks on an event loop that also carries the node's connections.
 *
 * <p>On a VM of about one core, handing each call from thread to thread costs more than the decisions themselves. Tasks
 * run in the order of submission, and a task that is submitted by another one runs after it. New work is taken only
 * while less than half of the room is used, as in a {@link Duty}. A task that fails is logged. Safe for use by any
 * thread.
 */
public final class EventLoopWorker implements Worker {
    private static final Logger LOGGER = LoggerFactory.getLogger(EventLoopWorker.class);

    private final EventLoop loop;
    private final String name;
    private final int room;
    private final AtomicInteger waiting = new AtomicInteger();
    private final LoopTimer ticks;

    /**
     * Begins the regular work.
     *
     * @param loop the event loop, which the caller shuts down
     * @param name the name of what is owned
     * @param room the number of tasks that may wait
     * @param tickEvery the time between two runs of {@code tick}
     * @param tick work that is done regularly
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
            LOGGER.error("a task of {} failed", name, e);
        }
    }
}
