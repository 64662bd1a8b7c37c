package org.plantainshunt.call;

import org.plantainshunt.admission.CallEntry;
import org.plantainshunt.protocol.CallMessage;
import org.plantainshunt.result.ResultCode;

/** Records nothing. */
final class SilentRecorder implements CallRecorder {
    @Override
    public void started(CallEntry entry, CallMessage message, long now) {}

    @Override
    public void served(CallEntry entry, CallMessage message, ResultCode code, long now) {}

    @Override
    public void replied(InboundCall call, CallReply reply, Basis basis, long now) {}
}
