package org.plantainshunt.call;

import org.plantainshunt.protocol.CancelHandle;

/** Cancels a call whose own handle is not known yet. Safe for use by any thread. */
public final class PendingCancel implements CancelHandle {
    private CancelHandle target;
    private boolean cancelled;

    /** Takes the call's handle, which is used at once if the call was cancelled before. */
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
