package org.plantainshunt.standins;

/**
 * Identifies a request received by a backend server stand-in; ids of absent headers are empty strings.
 *
 * @param sequence number of the request in this process, from 1
 * @param requestId the request id set by the node
 * @param kind the kind of request
 * @param workId the work id set by the caller
 * @param attemptId the attempt id set by the caller
 */
record RequestIdentity(long sequence, String requestId, String kind, String workId, String attemptId) {}
