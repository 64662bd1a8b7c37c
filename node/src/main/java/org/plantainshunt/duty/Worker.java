package org.plantainshunt.duty;

import java.time.Duration;

/** Runs tasks and regular work on the one thread that owns some state. Safe for use by any thread. */
public interface Worker extends TaskRunner, AutoCloseable {
    /** Returns the share of the room for tasks that is in use, 0 to 1. */
    double fill();

    @Override
    void close();

    /** Starts workers. */
    @FunctionalInterface
    interface Factory {
        /**
         * Starts a worker.
         *
         * @param name the name of what it owns
         * @param ringSize the number of tasks that may wait, a power of two
         * @param tickEvery the longest time between two runs of {@code tick}
         * @param tick work that is done regularly, also while tasks arrive
         */
        Worker start(String name, int ringSize, Duration tickEvery, Runnable tick);
    }
}
