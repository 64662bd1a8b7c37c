package org.plantainshunt.duty;

/** Runs tasks on the one thread that owns some state. Safe for use by any thread. */
@FunctionalInterface
public interface TaskRunner {
    /** Takes a task that must not be lost, and runs it now or later. */
    void submit(Runnable task);
}
