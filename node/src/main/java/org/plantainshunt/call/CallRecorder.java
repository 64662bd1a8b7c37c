package org.plantainshunt.call;

import org.plantainshunt.admission.CallEnd;
import org.plantainshunt.admission.CallEntry;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.protocol.CallMessage;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;

/** Receives the decisions about calls, for logs, metrics and decision traces; called on the decision thread. */
public interface CallRecorder {
    /** Called when new limits take effect; {@code now} is in nanoseconds. */
    default void limits(Service service, long now) {}

    /** Called before a call is offered to the admission queue; {@code now} is in nanoseconds. */
    default void arrived(CallEntry entry, CallMessage message, long now) {}

    /**
     * Called when the serving node refuses a call that has arrived, before or after the hand-over, and again when a
     * call that was abandoned fails at the backend server; {@code now} is in nanoseconds.
     */
    default void refused(CallEntry entry, Refusal refusal, long now) {}

    /** Called when a call that was handed over frees its slot; {@code now} is in nanoseconds. */
    default void ended(CallEntry entry, CallEnd end, long now) {}

    /** Called when the serving node gives up a call that is long past its deadline; {@code now} is in nanoseconds. */
    default void gaveUp(CallEntry entry, CallMessage message, long now) {}

    /** Called at most twice a second while calls wait or the admission level refuses some. */
    default void overloaded(Snapshot snapshot) {}

    /** Called when a call is handed over to the backend server; {@code now} is in nanoseconds. */
    void started(CallEntry entry, CallMessage message, long now);

    /**
     * Called when the serving node has replied to a call that has arrived, and again when the backend server ends a
     * call that was abandoned; {@code now} is in nanoseconds.
     */
    void served(CallEntry entry, CallMessage message, ResultCode code, long now);

    /** Called when an entry node retries a call, with the reason; {@code now} is in nanoseconds. */
    default void retried(InboundCall call, Basis basis, ResultCode code, String detail, long now) {}

    /** Called when an entry node replies to a caller; {@code now} is in nanoseconds. */
    void replied(InboundCall call, CallReply reply, Basis basis, long now);

    /**
     * The state on which an entry node based a decision.
     *
     * @param server the VM that the call was last sent to, or empty if it was never sent
     * @param documentNumber the version number of the applied configuration
     * @param listRevision the revision of the VM list
     * @param refusedShare the fraction of requests of the call's kind that is refused because the kind fails, 0 to 1
     */
    record Basis(String server, long documentNumber, long listRevision, double refusedShare) {}
}
