package org.plantainshunt.standins;

/**
 * What identifies a request at a backend server stand-in; absent headers are empty texts.
 *
 * @param sequence number of the request at this process, from 1
 * @param requestId the request id given by the node
 * @param kind the kind of request
 * @param workId the work id set by the caller
 * @param attemptId the attempt id set by the caller
 */
record RequestIdentity(long sequence, String requestId, String kind, String workId, String attemptId) {}
