package org.plantainshunt.duty;

/** Runs tasks on a single thread, which owns the state that they share. Safe for use by any thread. */
@FunctionalInterface
public interface TaskRunner {
    /** Runs a task that must not be lost, at once or later. */
    void submit(Runnable task);

    /** Accepts new work and returns true, or returns false if there is no capacity for it. */
    default boolean offer(Runnable task) {
        submit(task);
        return true;
    }
}
