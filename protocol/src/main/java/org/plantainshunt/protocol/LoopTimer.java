package org.plantainshunt.protocol;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs regular work on an event loop.
 *
 * <p>An event loop ends a task with a fixed delay silently when a run of it fails; here the failure is logged and the
 * next run follows. Safe for use by any thread.
 */
public final class LoopTimer {
    private static final Logger LOGGER = LoggerFactory.getLogger(LoopTimer.class);

    private final EventLoop loop;
    private final Duration pause;
    private final String name;
    private final Runnable task;
    private volatile boolean cancelled;

    private LoopTimer(EventLoop loop, Duration pause, String name, Runnable task) {
        this.loop = loop;
        this.pause = pause;
        this.name = name;
        this.task = task;
    }

    /**
     * Runs a task again and again, with a pause before each run.
     *
     * @param name what the work is, for the log
     */
    public static LoopTimer every(EventLoop loop, Duration pause, String name, Runnable task) {
        LoopTimer timer = new LoopTimer(loop, pause, name, task);
        timer.schedule();
        return timer;
    }

    /** Ends the work; a run that has begun goes on. */
    public void cancel() {
        cancelled = true;
    }

    private void schedule() {
        loop.schedule(this::run, pause.toNanos(), TimeUnit.NANOSECONDS).addListener(run -> ended(run));
    }

    private void run() {
        if (!cancelled) {
            task.run();
        }
    }

    private void ended(Future<?> run) {
        if (!run.isSuccess() && !run.isCancelled()) {
            LOGGER.error("a task of {} failed", name, run.cause());
        }
        if (!cancelled && !loop.isShuttingDown()) {
            schedule();
        }
    }
}
