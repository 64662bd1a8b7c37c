package org.plantainshunt.bench;

import java.util.Collection;
import java.util.List;
import java.util.Set;

import org.plantainshunt.standins.RequestRecord;

/**
 * Checks a backend server that left: whether it received new work too late, and whether requests in flight were
 * interrupted.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class LeavingServerChecker {
    /** How long a backend server may still receive requests after it began to leave. */
    private static final long GRACE_MILLISECONDS = 3_000;

    private static final Set<String> NORMAL_END_STATES = Set.of("answered", "call-failed", "shed");

    private LeavingServerChecker() {}

    /**
     * Returns the requests that reached a server more than 3 s after it began to leave.
     *
     * @param requests the records of all servers
     * @param server the name of the server
     * @param leavingSince when it began to leave, in milliseconds since 1970
     * @param until when its state was set back to serving or its node had exited, in milliseconds since 1970
     */
    static List<RequestRecord> lateRequests(
            Collection<RequestRecord> requests, String server, long leavingSince, long until) {
        return requests.stream()
                .filter(request -> request.server().equals(server))
                .filter(request ->
                        request.receivedAt() > leavingSince + GRACE_MILLISECONDS && request.receivedAt() < until)
                .toList();
    }

    /**
     * Returns the requests of a server that were in flight when its node was stopped and did not end normally.
     *
     * @param requests the records of all servers
     * @param server the name of the server
     * @param stoppedAt when the stop began, in milliseconds since 1970
     * @param exitedAt when the node had exited, in milliseconds since 1970
     */
    static List<RequestRecord> interruptedRequests(
            Collection<RequestRecord> requests, String server, long stoppedAt, long exitedAt) {
        return requests.stream()
                .filter(request -> request.server().equals(server))
                .filter(request -> request.receivedAt() < exitedAt)
                .filter(request -> request.endedAt() == 0 || request.endedAt() >= stoppedAt)
                .filter(request -> !NORMAL_END_STATES.contains(request.state()))
                .toList();
    }
}
