package org.plantainshunt.bench;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.plantainshunt.bench.InvariantChecker.Invariant;
import org.plantainshunt.standins.AttemptRecord;
import org.plantainshunt.standins.RequestRecord;

import static org.junit.jupiter.api.Assertions.assertEquals;

class InvariantCheckerTest {
    private final InvariantChecker checker = new InvariantChecker((server, kind) -> kind.equals("push"), 1);

    /** Guards against a violation reported where all invariants hold. */
    @Test
    void reportsNothingIfAllInvariantsHold() {
        assertEquals(
                List.of(),
                violated(
                        List.of(
                                attempt("w1", "w1.a1", 428, 1105, "not-run", "status 428"),
                                attempt("w1", "w1.a2", 200, 1000, "run", ""),
                                attempt("w2", "w2.a1", 502, 1200, "unknown", "status 502")),
                        List.of(
                                request("s-1", "push", "w1", "w1.a2"),
                                request("s-1", "look", "w2", "w2.a1"),
                                request("s-2", "look", "w2", "w2.a1"))));
    }

    /** Guards against an undetected second delivery of at-most-once work to another backend server. */
    @Test
    void findsWorkThatReachedTwoServers() {
        assertEquals(
                List.of(Invariant.AT_MOST_ONCE),
                violated(
                        List.of(
                                attempt("w", "w.a1", 502, 1200, "unknown", "status 502"),
                                attempt("w", "w.a2", 200, 1000, "run", "")),
                        List.of(request("s-1", "push", "w", "w.a1"), request("s-2", "push", "w", "w.a2"))));
    }

    /** Guards against an undetected "not run" for a request that reached a backend server, even if it did not run. */
    @Test
    void findsARequestThatWasAnsweredNotRunButArrived() {
        assertEquals(
                List.of(Invariant.NOT_RUN_HONEST),
                violated(
                        List.of(attempt("w", "w.a1", 503, 1100, "not-run", "status 503")),
                        List.of(request("s-1", "look", "w", "w.a1"))));
    }

    /** Guards against undetected answers that are truncated, or to work that reached no backend server. */
    @Test
    void findsAnswersThatAreNotWhole() {
        assertEquals(
                List.of(Invariant.WHOLE_ANSWER, Invariant.WHOLE_ANSWER),
                violated(
                        List.of(
                                attempt("w1", "w1.a1", 200, 1000, "run", "length is 5 in place of 9"),
                                attempt("w2", "w2.a1", 200, 1000, "run", "")),
                        List.of(request("s-1", "look", "w1", "w1.a1"))));
    }

    /** Guards against undetected retries that multiply along a call chain. */
    @Test
    void findsMoreRetriesThanAllowed() {
        assertEquals(
                List.of(Invariant.RETRY_BOUND),
                violated(
                        List.of(attempt("w", "w.a1", 200, 1000, "run", "")),
                        List.of(
                                request("s-1", "look", "w", "w.a1"),
                                request("s-2", "look", "w", "w.a1"),
                                request("t-1", "deep", "w>p.1.0", "w>p.1.0.a1"),
                                request("t-2", "deep", "w>p.1.0", "w>p.1.0.a1"))));
    }

    private List<Invariant> violated(List<AttemptRecord> attempts, List<RequestRecord> requests) {
        return checker.check(attempts, requests).stream()
                .map(InvariantChecker.Violation::invariant)
                .toList();
    }

    private static AttemptRecord attempt(
            String work, String attempt, int status, int result, String run, String fault) {
        return new AttemptRecord(work, attempt, "s", "push", true, "127.0.0.1:1", "", status, result, run, fault, 0, 0);
    }

    private static RequestRecord request(String server, String kind, String work, String attempt) {
        return new RequestRecord(server, "p", 1, "r", kind, work, attempt, false, 1, 2, 3, "answered");
    }
}
