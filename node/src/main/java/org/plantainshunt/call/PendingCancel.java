package org.plantainshunt.call;

import org.plantainshunt.protocol.CancelHandle;

/** A handle for a call whose own handle is not available yet. Safe for use by any thread. */
public final class PendingCancel implements CancelHandle {
    private CancelHandle target;
    private boolean cancelled;

    /** Sets the call's own handle and cancels the call if that was requested before. */
    public synchronized void resolve(CancelHandle resolved) {
        target = resolved;
        if (cancelled) {
            resolved.cancel();
        }
    }

    @Override
    public synchronized void cancel() {
        cancelled = true;
        if (target != null) {
            target.cancel();
        }
    }
}
