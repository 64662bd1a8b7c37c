package org.plantainshunt.call;

import org.plantainshunt.admission.CallEntry;
import org.plantainshunt.protocol.CallMessage;
import org.plantainshunt.result.ResultCode;

/** Receives what the decisions did, for logs, metrics, spans and traces; called on the decision duty's thread. */
public interface CallRecorder {
    /** Takes the hand-over of a call to the backend server; {@code now} is in nanoseconds. */
    void started(CallEntry entry, CallMessage message, long now);

    /** Takes the end of a call at the serving node; {@code now} is in nanoseconds. */
    void served(CallEntry entry, CallMessage message, ResultCode code, long now);

    /** Takes the reply of an entry node; {@code now} is in nanoseconds. */
    void replied(InboundCall call, CallReply reply, long now);
}
