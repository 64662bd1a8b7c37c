package org.plantainshunt.standins;

/**
 * Record of a request that reached a backend server stand-in.
 *
 * <p>Immutable.
 *
 * @param server the name of the backend server
 * @param process random id of the server's process, which keeps sequence numbers unique across restarts
 * @param sequence number of the request in this process, from 1
 * @param requestId the request id set by the node
 * @param kind the kind of request
 * @param workId the work id set by the caller; the same for all attempts
 * @param attemptId the attempt id set by the caller
 * @param whileDraining whether the server was draining when the request arrived
 * @param receivedAt when it was received, in milliseconds since the epoch
 * @param startedAt when it got a slot, in milliseconds since the epoch; 0 if it has not run
 * @param endedAt when it ended, in milliseconds since the epoch; 0 if it has not ended
 * @param state the latest state, a label of {@link RequestState}
 */
public record RequestRecord(
        String server,
        String process,
        long sequence,
        String requestId,
        String kind,
        String workId,
        String attemptId,
        boolean whileDraining,
        long receivedAt,
        long startedAt,
        long endedAt,
        String state) {

    RequestRecord started(long at) {
        return with(at, endedAt, RequestState.RUNNING);
    }

    RequestRecord ended(long at, RequestState last) {
        return with(startedAt, at, last);
    }

    private RequestRecord with(long started, long ended, RequestState next) {
        return new RequestRecord(
                server,
                process,
                sequence,
                requestId,
                kind,
                workId,
                attemptId,
                whileDraining,
                receivedAt,
                started,
                ended,
                next.label());
    }
}
