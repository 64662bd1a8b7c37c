package org.plantainshunt.bench.policy;

import org.plantainshunt.result.ResultCode;

/** What a node decides for the calls that arrive for its backend server. */
interface ServingPolicy {
    /** Decides on a call that has arrived, now or later, through the actions of the host. */
    void arrived(InboundCall call, long now);

    /** Takes note that the backend server is done with a call that was handed over. */
    void finished(InboundCall call, boolean answered, long now);

    /** Drops a call that still waits; returns whether it did. */
    boolean cancel(InboundCall call, long now);

    /** Called every 10 ms. */
    void tick(long now);

    /** Returns the admission level, 0 to 512. */
    int level();

    /** Returns the number of calls that wait at the node. */
    int queued();

    /** What a serving policy can have done with a call. */
    interface Host {
        void handOver(InboundCall call);

        /** Refuses a call that still waits. */
        void refuse(InboundCall call, ResultCode code, long retryAfterMilliseconds);

        /** Cancels a call that the backend server runs. */
        void abort(InboundCall call, ResultCode code);
    }
}
