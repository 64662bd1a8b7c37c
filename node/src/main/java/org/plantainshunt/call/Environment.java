package org.plantainshunt.call;

import java.util.function.LongSupplier;

import org.plantainshunt.duty.TaskRunner;

/**
 * The components shared by the entry side and the serving side.
 *
 * <p>Used on the decision thread only, except for the task runner.
 *
 * @param taskRunner runs tasks on the decision thread
 * @param clock a monotonic clock in nanoseconds
 * @param recorder receives the decisions
 * @param tracer creates a span for each hop
 * @param contexts the requests that run at the backend server
 */
record Environment(
        TaskRunner taskRunner, LongSupplier clock, CallRecorder recorder, HopTracer tracer, CallContexts contexts) {
    long now() {
        return clock.getAsLong();
    }
}
