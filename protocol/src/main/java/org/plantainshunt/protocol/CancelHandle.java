package org.plantainshunt.protocol;

/** Cancels one call. Safe for use by any thread; has no effect if repeated or if the call has ended. */
public interface CancelHandle {
    /** Cancels the call. Its listener is still called exactly once. */
    void cancel();
}
