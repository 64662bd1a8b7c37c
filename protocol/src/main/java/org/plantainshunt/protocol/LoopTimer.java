package org.plantainshunt.protocol;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a periodic task on an event loop.
 *
 * <p>{@code scheduleWithFixedDelay} of an event loop silently stops repeating a task when one run throws. This class
 * logs the failure and schedules the next run. Safe for use by any thread.
 */
public final class LoopTimer {
    private static final Logger LOGGER = LoggerFactory.getLogger(LoopTimer.class);

    private final EventLoop loop;
    private final Duration delay;
    private final String name;
    private final Runnable task;
    private volatile boolean cancelled;

    private LoopTimer(EventLoop loop, Duration delay, String name, Runnable task) {
        this.loop = loop;
        this.delay = delay;
        this.name = name;
        this.task = task;
    }

    /**
     * Runs a task repeatedly, with a delay before each run.
     *
     * @param name describes the task in log messages
     */
    public static LoopTimer every(EventLoop loop, Duration delay, String name, Runnable task) {
        LoopTimer timer = new LoopTimer(loop, delay, name, task);
        timer.schedule();
        return timer;
    }

    /** Stops scheduling runs; a run in progress is not interrupted. */
    public void cancel() {
        cancelled = true;
    }

    private void schedule() {
        loop.schedule(this::run, delay.toNanos(), TimeUnit.NANOSECONDS).addListener(run -> runEnded(run));
    }

    private void run() {
        if (!cancelled) {
            task.run();
        }
    }

    private void runEnded(Future<?> run) {
        if (!run.isSuccess() && !run.isCancelled()) {
            LOGGER.error("a run of {} failed", name, run.cause());
        }
        if (!cancelled && !loop.isShuttingDown()) {
            schedule();
        }
    }
}
