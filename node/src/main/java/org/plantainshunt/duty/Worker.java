package org.plantainshunt.duty;

import java.time.Duration;

/** Runs tasks and a periodic task on a single thread, which owns their state. Safe for use by any thread. */
public interface Worker extends TaskRunner, AutoCloseable {
    /**
     * Returns the number of queued tasks as a fraction of the queue's capacity. It may exceed 1 if the worker queues
     * submitted tasks beyond its capacity.
     */
    double queueUtilization();

    @Override
    void close();

    /** Starts workers. */
    @FunctionalInterface
    interface Factory {
        /**
         * Starts a worker.
         *
         * @param name the name of the worker
         * @param capacity the capacity of the task queue, a power of two, of which new work may use half
         * @param tickInterval the shortest time between two runs of {@code tick}
         * @param tick a periodic task, which runs also while other tasks arrive
         */
        Worker start(String name, int capacity, Duration tickInterval, Runnable tick);
    }
}
