package org.plantainshunt.standins;

/**
 * What a backend server stand-in knows of one request it received; any record means that it reached the server.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param server the name of the backend server
 * @param process a random identity of the server's process, so that records survive a restart
 * @param sequence number of the request at this process, from 1
 * @param requestId the request id given by the node
 * @param kind the kind of request
 * @param workId the work id set by the caller; the same over all attempts
 * @param attemptId the attempt id set by the caller
 * @param whileDraining whether the server was draining when the request came
 * @param receivedAt when it was received, in milliseconds since 1970
 * @param startedAt when it was given a slot, in milliseconds since 1970; 0 if it never ran
 * @param endedAt when it ended, in milliseconds since 1970; 0 if it has not
 * @param state the last known state, a label of {@link RequestState}
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
