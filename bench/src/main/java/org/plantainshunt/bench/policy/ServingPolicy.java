package org.plantainshunt.bench.policy;

import org.plantainshunt.result.ResultCode;

/** The decisions of a serving node on the inbound calls for its backend server. */
interface ServingPolicy {
    /** Called when a call arrives. The policy decides on it now or later, through the methods of {@link Host}. */
    void arrived(InboundCall call, long now);

    /** Called when the backend server has answered a call that was handed over, or the call was cancelled there. */
    void finished(InboundCall call, boolean answered, long now);

    /** Removes a call that still waits; returns whether it was waiting. */
    boolean cancel(InboundCall call, long now);

    /** Called every 10 ms. */
    void tick(long now);

    /** Returns the admission level, 0 to 512. */
    int level();

    /** Returns the number of calls that wait at the node. */
    int queued();

    /** The actions on calls that a serving policy requests from its node. */
    interface Host {
        void handOver(InboundCall call);

        /** Refuses a call that still waits. */
        void refuse(InboundCall call, ResultCode code, long retryAfterMilliseconds);

        /** Cancels a call that the backend server runs. */
        void abort(InboundCall call, ResultCode code);
    }
}
