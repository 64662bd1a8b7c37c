package org.plantainshunt.bench;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;

import org.plantainshunt.result.RunState;
import org.plantainshunt.standins.AttemptRecord;
import org.plantainshunt.standins.RequestRecord;

/**
 * Checks the invariants by comparing the replies that callers got with the requests that backend servers received.
 *
 * <p>A record of a backend server means that the request reached it, whether it ran there or not. Immutable and
 * safe for use by any thread.
 */
public final class InvariantChecker {
    private static final int STATUS_OK = 200;
    private static final char CALL_SEPARATOR = '>';

    private final BiPredicate<String, String> atMostOnce;
    private final int retriesPerRequest;

    /**
     * Creates a checker.
     *
     * @param atMostOnce whether a kind runs at most once, by the name of the backend server and the name of the kind
     * @param retriesPerRequest the maximum number of retries for one attempt of a caller
     */
    public InvariantChecker(BiPredicate<String, String> atMostOnce, int retriesPerRequest) {
        this.atMostOnce = atMostOnce;
        this.retriesPerRequest = retriesPerRequest;
    }

    /** The invariants that are checked. */
    public enum Invariant {
        /** Work of a kind that runs at most once reached backend servers more than once. */
        AT_MOST_ONCE,
        /** An attempt that was reported as "not run" reached a backend server. */
        NOT_RUN_HONEST,
        /** Nodes made more retries for one request of a caller than the limits of all its attempts allow together. */
        RETRY_BOUND,
        /** A successful answer was truncated, corrupted or of another request, or its request reached no server. */
        WHOLE_ANSWER
    }

    /**
     * A violation of an invariant.
     *
     * @param invariant the violated invariant
     * @param workId the work id of the request
     * @param description what was observed
     */
    public record Violation(Invariant invariant, String workId, String description) {}

    /**
     * Returns all violations.
     *
     * @param attempts the attempts of callers with the replies they got
     * @param requests the requests that backend servers received
     */
    public List<Violation> check(Collection<AttemptRecord> attempts, Collection<RequestRecord> requests) {
        List<Violation> violations = new ArrayList<>();
        checkAtMostOnce(requests, violations);
        checkRetryBound(attempts, requests, violations);
        Map<String, RequestRecord> byAttempt = new HashMap<>();
        Set<String> reached = new HashSet<>();
        for (RequestRecord request : requests) {
            byAttempt.put(request.attemptId(), request);
            reached.add(request.workId());
        }
        for (AttemptRecord attempt : attempts) {
            checkNotRun(attempt, byAttempt.get(attempt.attemptId()), violations);
            checkAnswer(attempt, reached, violations);
        }
        return violations;
    }

    private void checkAtMostOnce(Collection<RequestRecord> requests, List<Violation> violations) {
        Map<String, RequestRecord> first = new HashMap<>();
        for (RequestRecord request : requests) {
            if (!atMostOnce.test(request.server(), request.kind())) {
                continue;
            }
            RequestRecord earlier = first.putIfAbsent(request.workId(), request);
            if (earlier != null) {
                violations.add(new Violation(
                        Invariant.AT_MOST_ONCE,
                        request.workId(),
                        "reached " + describe(earlier) + " and " + describe(request)));
            }
        }
    }

    /** Counts repeated deliveries of the same attempt; a retry that was refused leaves no record. */
    private void checkRetryBound(
            Collection<AttemptRecord> attempts, Collection<RequestRecord> requests, List<Violation> violations) {
        Map<String, Integer> allowed = new HashMap<>();
        attempts.forEach(attempt -> allowed.merge(attempt.workId(), retriesPerRequest, Integer::sum));
        Map<String, Integer> retries = new HashMap<>();
        Set<String> delivered = new HashSet<>();
        for (RequestRecord request : requests) {
            if (!delivered.add(request.attemptId())) {
                retries.merge(rootOf(request.workId()), 1, Integer::sum);
            }
        }
        retries.forEach((root, count) -> {
            int bound = allowed.getOrDefault(root, 0);
            if (count > bound) {
                violations.add(new Violation(
                        Invariant.RETRY_BOUND,
                        root,
                        count + " retries reached backend servers, but the limit is " + bound));
            }
        });
    }

    /** Returns the work id of the caller's request: the part of a call's work id before the first separator. */
    private static String rootOf(String workId) {
        int end = workId.indexOf(CALL_SEPARATOR);
        return end < 0 ? workId : workId.substring(0, end);
    }

    private static void checkNotRun(AttemptRecord attempt, RequestRecord request, List<Violation> violations) {
        if (request != null && attempt.run().equals(RunState.NOT_RUN.label())) {
            violations.add(new Violation(
                    Invariant.NOT_RUN_HONEST,
                    attempt.workId(),
                    attempt.entry() + " returned result " + attempt.result() + " for " + attempt.attemptId()
                            + ", which reached " + describe(request)));
        }
    }

    private static void checkAnswer(AttemptRecord attempt, Set<String> reached, List<Violation> violations) {
        if (attempt.status() != STATUS_OK) {
            return;
        }
        if (!attempt.fault().isEmpty()) {
            violations.add(new Violation(
                    Invariant.WHOLE_ANSWER,
                    attempt.workId(),
                    attempt.entry() + " answered 200 with a faulty body: " + attempt.fault()));
        } else if (!reached.contains(attempt.workId())) {
            violations.add(new Violation(
                    Invariant.WHOLE_ANSWER,
                    attempt.workId(),
                    attempt.entry() + " answered 200 for work that reached no backend server"));
        }
    }

    private static String describe(RequestRecord request) {
        return request.server() + " as request number " + request.sequence() + " (" + request.state() + ", "
                + request.attemptId() + ")";
    }
}
