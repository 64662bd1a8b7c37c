package org.plantainshunt.protocol;

/** Cancels one call. Safe for use by any thread; further calls and calls after the end have no effect. */
public interface CancelHandle {
    /** Cancels the call. Its listener is still called once. */
    void cancel();
}
