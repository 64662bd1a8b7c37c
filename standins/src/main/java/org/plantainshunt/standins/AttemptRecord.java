package org.plantainshunt.standins;

/**
 * What a caller was told about one attempt.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param workId the work; the same over all attempts
 * @param attemptId the attempt, unique
 * @param service the service called
 * @param kind the kind of request
 * @param atMostOnce whether the kind runs at most once
 * @param entry the entry node that was asked
 * @param ticket the ticket that was sent, or an empty text
 * @param status the HTTP status; 0 if no answer came
 * @param result the number of the result code; 0 if there was none
 * @param run not-run, run or unknown
 * @param fault why the answer was not whole; an empty text if it was
 * @param startedAt when it was sent, in milliseconds since 1970
 * @param milliseconds how long the caller waited
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
