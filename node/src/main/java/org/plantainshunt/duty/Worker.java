package org.plantainshunt.duty;

import java.time.Duration;

/** Runs tasks and a periodic task on a single thread, which owns their state. Safe for use by any thread. */
public interface Worker extends TaskRunner, AutoCloseable {
    /** Returns the fraction of the task queue's capacity that is in use, 0 to 1. */
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
         * @param capacity the number of tasks that may wait, a power of two
         * @param tickInterval the longest time between two runs of {@code tick}
         * @param tick a periodic task, which runs also while other tasks arrive
         */
        Worker start(String name, int capacity, Duration tickInterval, Runnable tick);
    }
}
