package org.plantainshunt.bench;

import java.util.Collection;
import java.util.List;
import java.util.Set;

import org.plantainshunt.standins.RequestRecord;

/**
 * Judges a backend server that left: whether it got new work too late, and whether work in flight was interrupted.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class LeavingJudge {
    /** A backend server that is leaving stops receiving new work within this time. */
    private static final long GRACE_MILLISECONDS = 3_000;

    private static final Set<String> ENDED_AS_USUAL = Set.of("answered", "call-failed", "shed");

    private LeavingJudge() {}

    /**
     * Returns the requests that reached a server more than 3 s after it began to leave.
     *
     * @param requests the records of all servers
     * @param server the name of the server
     * @param leftAt when it began to leave, in milliseconds since 1970
     * @param until when it was told to serve again, in milliseconds since 1970
     */
    static List<RequestRecord> late(Collection<RequestRecord> requests, String server, long leftAt, long until) {
        return requests.stream()
                .filter(request -> request.server().equals(server))
                .filter(request -> request.receivedAt() > leftAt + GRACE_MILLISECONDS && request.receivedAt() < until)
                .toList();
    }

    /**
     * Returns the requests of a server that were in flight when its node was stopped and did not come to an end.
     *
     * @param requests the records of all servers
     * @param server the name of the server
     * @param stoppedAt when the stop began, in milliseconds since 1970
     * @param goneAt when the node had ended, in milliseconds since 1970
     */
    static List<RequestRecord> interrupted(
            Collection<RequestRecord> requests, String server, long stoppedAt, long goneAt) {
        return requests.stream()
                .filter(request -> request.server().equals(server))
                .filter(request -> request.receivedAt() < goneAt)
                .filter(request -> request.endedAt() == 0 || request.endedAt() >= stoppedAt)
                .filter(request -> !ENDED_AS_USUAL.contains(request.state()))
                .toList();
    }
}
