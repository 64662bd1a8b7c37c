package org.plantainshunt.duty;

import java.time.Duration;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutBlockingWaitStrategy;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A single-threaded executor whose tasks are queued in a bounded ring buffer.
 *
 * <p>Tasks run on the worker's own thread in the order of submission, so the state that they share needs no locks. New
 * work is accepted only while the ring buffer is less than half full; the other half is reserved for events that end
 * work, which must not be lost. Safe for use by any thread.
 *
 * <p>Example: {@code worker.offer(() -> queue.add(call))} from an event loop.
 */
public final class RingBufferWorker implements Worker {
    /** The logger name is part of the log format. */
    private static final Logger LOGGER = LoggerFactory.getLogger("org.plantainshunt.duty.Duty");

    private static final int SHUTDOWN_TIMEOUT_SECONDS = 2;

    private final Disruptor<Slot> disruptor;
    private final RingBuffer<Slot> ring;
    private volatile Thread thread;

    /**
     * Starts the thread.
     *
     * @param name the thread's name
     * @param ringSize the capacity of the ring buffer, a power of two
     * @param tickInterval the shortest time between two runs of {@code tick}; the longest is about twice that, plus the
     *     run time of a task
     * @param tick a periodic task, which runs also while other tasks arrive
     */
    public RingBufferWorker(String name, int ringSize, Duration tickInterval, Runnable tick) {
        ThreadFactory factory = task -> {
            Thread created = new Thread(task, name);
            created.setDaemon(true);
            thread = created;
            return created;
        };
        // A blocking wait uses almost no CPU time while idle; a busy-spin wait would exceed the 3 % CPU limit.
        TimeoutBlockingWaitStrategy waitStrategy =
                new TimeoutBlockingWaitStrategy(tickInterval.toNanos(), TimeUnit.NANOSECONDS);
        disruptor = new Disruptor<>(Slot::new, ringSize, factory, ProducerType.MULTI, waitStrategy);
        disruptor.setDefaultExceptionHandler(new LoggingExceptionHandler(name));
        disruptor.handleEventsWith(new TaskHandler(tickInterval.toNanos(), tick));
        ring = disruptor.start();
    }

    /** Queues new work and returns true, or returns false if the ring buffer is at least half full. */
    @Override
    public boolean offer(Runnable task) {
        if (ring.remainingCapacity() <= ring.getBufferSize() / 2) {
            return false;
        }
        return ring.tryPublishEvent((slot, sequence) -> slot.task = task);
    }

    /**
     * Queues an event that must not be lost, for example the end of a call.
     *
     * <p>Waits while the ring buffer is full. On the worker's own thread the task runs at once instead, since waiting
     * there would be a deadlock.
     */
    @Override
    public void submit(Runnable task) {
        if (Thread.currentThread() == thread) {
            task.run();
            return;
        }
        ring.publishEvent((slot, sequence) -> slot.task = task);
    }

    @Override
    public double queueUtilization() {
        return 1.0 - (double) ring.remainingCapacity() / ring.getBufferSize();
    }

    @Override
    public void close() {
        try {
            disruptor.shutdown(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (com.lmax.disruptor.TimeoutException e) {
            LOGGER.warn("worker did not finish its queued tasks within {} s", SHUTDOWN_TIMEOUT_SECONDS);
            disruptor.halt();
        }
    }

    /** An entry of the ring buffer. */
    private static final class Slot {
        private Runnable task;
    }

    /** Runs the queued tasks and the periodic task on the worker's thread. */
    private static final class TaskHandler implements EventHandler<Slot> {
        private final long tickNanoseconds;
        private final Runnable tick;
        private long lastTick = System.nanoTime();

        TaskHandler(long tickNanoseconds, Runnable tick) {
            this.tickNanoseconds = tickNanoseconds;
            this.tick = tick;
        }

        @Override
        public void onEvent(Slot slot, long sequence, boolean endOfBatch) {
            Runnable task = slot.task;
            slot.task = null;
            task.run();
            tickWhenDue();
        }

        @Override
        public void onTimeout(long sequence) {
            tickWhenDue();
        }

        private void tickWhenDue() {
            long now = System.nanoTime();
            if (now - lastTick < tickNanoseconds) {
                return;
            }
            lastTick = now;
            tick.run();
        }
    }

    /** Logs the exception of a failed task; the thread continues with the next task. */
    private record LoggingExceptionHandler(String name) implements ExceptionHandler<Slot> {
        @Override
        public void handleEventException(Throwable error, long sequence, Slot slot) {
            LOGGER.error("a task of worker {} failed", name, error);
        }

        @Override
        public void handleOnStartException(Throwable error) {
            LOGGER.error("worker {} failed to start", name, error);
        }

        @Override
        public void handleOnShutdownException(Throwable error) {
            LOGGER.error("worker {} failed to stop", name, error);
        }
    }
}
