package org.plantainshunt.bench.policy;

import org.plantainshunt.admission.Priority;
import org.plantainshunt.configuration.PriorityClass;

/**
 * One request that a caller sends to an entry node. Each repeat by the caller is a new object with the same id.
 *
 * <p>All calls of the chain share this object, so that the retries of all hops can be counted. Confined to one thread.
 */
final class Request {
    final long id;
    /** The id as text, from which the cohort of the priority is derived. */
    final String idText;

    final Priority priority;
    final KindProfile kindProfile;
    final long firstSentAt;
    final long sentAt;
    final long deadline;
    final int attempt;
    final int declaredAttempt;
    final boolean straggler;
    private int retries;

    /**
     * Creates a request.
     *
     * @param id the request id, the same for all repeats
     * @param kindProfile the kind of the request, with the parameters of its simulation
     * @param firstSentAt when the first attempt was sent
     * @param sentAt when this attempt is sent
     * @param attempt the number of this attempt, 1 for the first
     * @param declaredAttempt the attempt number that the caller sends; always 1 with {@code RepeatStyle.HARD}
     * @param straggler whether the service time is {@value BackendServer#STRAGGLER_FACTOR} times the usual
     */
    Request(
            long id,
            KindProfile kindProfile,
            long firstSentAt,
            long sentAt,
            int attempt,
            int declaredAttempt,
            boolean straggler) {
        this.id = id;
        this.idText = Long.toString(id);
        this.priority = Priority.of(kindProfile.kind().priorityClass(), Priority.cohortOf(idText));
        this.kindProfile = kindProfile;
        this.firstSentAt = firstSentAt;
        this.sentAt = sentAt;
        this.deadline = sentAt + kindProfile.kind().deadline().toNanos();
        this.attempt = attempt;
        this.declaredAttempt = declaredAttempt;
        this.straggler = straggler;
    }

    PriorityClass priorityClass() {
        return kindProfile.kind().priorityClass();
    }

    void countRetry() {
        retries++;
    }

    /** Returns the number of retries by entry nodes in the whole call chain of this request. */
    int retries() {
        return retries;
    }
}
