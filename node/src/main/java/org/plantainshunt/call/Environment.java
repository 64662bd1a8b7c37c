package org.plantainshunt.call;

import java.util.function.LongSupplier;

import org.plantainshunt.duty.TaskRunner;

/**
 * What the two sides of the decisions share.
 *
 * <p>The parts are confined to the decision duty's thread, except the duty itself.
 *
 * @param duty runs tasks on the decision duty's thread
 * @param clock a monotonic clock in nanoseconds
 * @param recorder receives what was decided
 * @param tracer makes a span for each hop
 * @param contexts the requests that run at the backend server
 */
record Environment(
        TaskRunner duty, LongSupplier clock, CallRecorder recorder, HopTracer tracer, CallContexts contexts) {
    long now() {
        return clock.getAsLong();
    }
}
