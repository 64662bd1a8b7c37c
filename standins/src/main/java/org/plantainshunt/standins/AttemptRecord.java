package org.plantainshunt.standins;

/**
 * Record of one attempt as seen by the caller.
 *
 * <p>Immutable.
 *
 * @param workId the work id; the same for all attempts
 * @param attemptId the unique id of the attempt
 * @param service the service called
 * @param kind the kind of request
 * @param atMostOnce whether the kind runs at most once
 * @param entry the entry node that the attempt was sent to
 * @param ticket the ticket that was sent, or an empty string
 * @param status the HTTP status; 0 if there was no response
 * @param result the number of the result code; 0 if there was none
 * @param run whether the request ran: not-run, run or unknown
 * @param fault why there was no successful, intact response; an empty string if there was one
 * @param startedAt when it was sent, in milliseconds since the epoch
 * @param milliseconds how long the caller waited for the response
 */
public record AttemptRecord(
        String workId,
        String attemptId,
        String service,
        String kind,
        boolean atMostOnce,
        String entry,
        String ticket,
        int status,
        int result,
        String run,
        String fault,
        long startedAt,
        long milliseconds) {}
