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
 * Compares what callers were told with what backend servers received.
 *
 * <p>Any record of a backend server means that the request reached it, whether it ran there or not. Stateless after
 * construction and safe for use by any thread.
 */
public final class InvariantJudge {
    private static final int STATUS_OK = 200;
    private static final char CALL_SEPARATOR = '>';

    private final BiPredicate<String, String> atMostOnce;
    private final int retriesPerRequest;

    /**
     * Creates a judge.
     *
     * @param atMostOnce whether a kind runs at most once, by the name of the backend server and the name of the kind
     * @param retriesPerRequest the retries that the configuration allows for one attempt of a caller
     */
    public InvariantJudge(BiPredicate<String, String> atMostOnce, int retriesPerRequest) {
        this.atMostOnce = atMostOnce;
        this.retriesPerRequest = retriesPerRequest;
    }

    /** The invariants that are judged. */
    public enum Invariant {
        /** Work of a kind that runs at most once reached backend servers more than once. */
        AT_MOST_ONCE,
        /** An attempt that was told "not run" reached a backend server. */
        NOT_RUN_HONEST,
        /** Nodes delivered the calls of one piece of work again more often than its attempts allow. */
        RETRY_BOUND,
        /** A successful answer was cut, damaged, of other work, or of work that reached no backend server. */
        WHOLE_ANSWER
    }

    /**
     * A breach of an invariant.
     *
     * @param invariant which one
     * @param workId the work that it concerns
     * @param description what was seen
     */
    public record Violation(Invariant invariant, String workId, String description) {}

    /**
     * Returns all violations.
     *
     * @param attempts what callers were told
     * @param requests what backend servers received
     */
    public List<Violation> judge(Collection<AttemptRecord> attempts, Collection<RequestRecord> requests) {
        List<Violation> violations = new ArrayList<>();
        judgeRepeats(requests, violations);
        judgeRetries(attempts, requests, violations);
        Map<String, RequestRecord> byAttempt = new HashMap<>();
        Set<String> reached = new HashSet<>();
        for (RequestRecord request : requests) {
            byAttempt.put(request.attemptId(), request);
            reached.add(request.workId());
        }
        for (AttemptRecord attempt : attempts) {
            judgeNotRun(attempt, byAttempt.get(attempt.attemptId()), violations);
            judgeAnswer(attempt, reached, violations);
        }
        return violations;
    }

    private void judgeRepeats(Collection<RequestRecord> requests, List<Violation> violations) {
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
                        "reached " + place(earlier) + " and " + place(request)));
            }
        }
    }

    /** Counts deliveries of the same attempt after the first; retries that were refused leave no record. */
    private void judgeRetries(
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
                        Invariant.RETRY_BOUND, root, count + " retries reached backend servers in place of " + bound));
            }
        });
    }

    /** Returns the work of the caller for which a call was made; calls carry it before the first separator. */
    private static String rootOf(String workId) {
        int end = workId.indexOf(CALL_SEPARATOR);
        return end < 0 ? workId : workId.substring(0, end);
    }

    private static void judgeNotRun(AttemptRecord attempt, RequestRecord request, List<Violation> violations) {
        if (request != null && attempt.run().equals(RunState.NOT_RUN.label())) {
            violations.add(new Violation(
                    Invariant.NOT_RUN_HONEST,
                    attempt.workId(),
                    attempt.entry() + " said " + attempt.result() + " to " + attempt.attemptId() + ", which reached "
                            + place(request)));
        }
    }

    private static void judgeAnswer(AttemptRecord attempt, Set<String> reached, List<Violation> violations) {
        if (attempt.status() != STATUS_OK) {
            return;
        }
        if (!attempt.fault().isEmpty()) {
            violations.add(new Violation(
                    Invariant.WHOLE_ANSWER, attempt.workId(), attempt.entry() + " answered 200: " + attempt.fault()));
        } else if (!reached.contains(attempt.workId())) {
            violations.add(new Violation(
                    Invariant.WHOLE_ANSWER, attempt.workId(), attempt.entry() + " answered work that never arrived"));
        }
    }

    private static String place(RequestRecord request) {
        return request.server() + " as number " + request.sequence() + " (" + request.state() + ", "
                + request.attemptId() + ")";
    }
}
