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
 * while less than half of the capacity is used, as in a {@link RingBufferWorker}. Exceptions of tasks are logged.
 * Safe for use by any thread.
 */
public final class EventLoopWorker implements Worker {
    private static final Logger LOGGER = LoggerFactory.getLogger(EventLoopWorker.class);

    private final EventLoop loop;
    private final String name;
    private final int capacity;
    private final AtomicInteger queuedTasks = new AtomicInteger();
    private final LoopTimer timer;

    /**
     * Starts the periodic task.
     *
     * @param loop the event loop, which this worker does not shut down
     * @param name the name of the worker, for log lines
     * @param capacity the queue capacity, of which new work may use half; submitted tasks may exceed it
     * @param tickInterval the delay before each run of {@code tick}
     * @param tick a periodic task
     */
    public EventLoopWorker(EventLoop loop, String name, int capacity, Duration tickInterval, Runnable tick) {
        this.loop = loop;
        this.name = name;
        this.capacity = capacity;
        this.timer = LoopTimer.every(loop, tickInterval, name, tick);
    }

    @Override
    public boolean offer(Runnable task) {
        if (queuedTasks.get() >= capacity / 2) {
            return false;
        }
        submit(task);
        return true;
    }

    @Override
    public void submit(Runnable task) {
        queuedTasks.incrementAndGet();
        loop.execute(() -> {
            queuedTasks.decrementAndGet();
            run(task);
        });
    }

    @Override
    public double queueUtilization() {
        return (double) queuedTasks.get() / capacity;
    }

    @Override
    public void close() {
        timer.cancel();
    }

    private void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOGGER.error("a task of {} failed", name, e);
        }
    }
}
