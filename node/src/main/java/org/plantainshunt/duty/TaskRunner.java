package org.plantainshunt.duty;

/** Runs tasks on the one thread that owns some state. Safe for use by any thread. */
@FunctionalInterface
public interface TaskRunner {
    /** Takes a task that must not be lost, and runs it now or later. */
    void submit(Runnable task);

    /** Takes new work and returns true, or returns false if there is no room for it. */
    default boolean offer(Runnable task) {
        submit(task);
        return true;
    }
}
