package org.plantainshunt.call;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.plantainshunt.admission.Priority;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.Outcall;
import org.plantainshunt.configuration.Policy;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.retry.RetryBudget;
import org.plantainshunt.retry.Share;

/**
 * Finds what a call may do: its kind, priority, deadline and retry allowance.
 *
 * <p>A call of a backend server inherits from the request that it is made for; any other call begins a request.
 * Confined to the decision duty's thread.
 */
final class CallPreparation {
    private final Environment environment;
    private final Map<Kind, Integer> callsBelow = new HashMap<>();
    private Optional<Document> document = Optional.empty();
    private RetryBudget retryBudget = new RetryBudget(0);
    private double retryRatio;

    CallPreparation(Environment environment) {
        this.environment = environment;
    }

    void configure(Document accepted) {
        document = Optional.of(accepted);
        callsBelow.clear();
        double ratio = accepted.policy().retryBudget();
        if (ratio != retryRatio) {
            retryRatio = ratio;
            retryBudget = new RetryBudget(ratio);
        }
    }

    Optional<Document> document() {
        return document;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    /** Returns whether a call asks for a ticket only, which runs nothing. */
    static boolean needsTicket(EntryCall call) {
        return call.kind.atMostOnce() && call.inbound.ticket().isEmpty();
    }

    /** Returns the number of calls declared in the whole tree below a kind. */
    private int callsBelow(Kind kind) {
        Integer known = callsBelow.get(kind);
        if (known != null) {
            return known;
        }
        int sum = 0;
        for (Outcall outcall : kind.calls()) {
            Optional<Kind> next = document.flatMap(current -> current.kind(outcall.service(), outcall.kind()));
            sum += outcall.count() * (1 + (next.isPresent() ? callsBelow(next.get()) : 0));
        }
        callsBelow.put(kind, sum);
        return sum;
    }

    /** Fills in what a call may do, or returns why it is refused. */
    Optional<Refusal> prepare(EntryCall call) {
        InboundCall inbound = call.inbound;
        if (document.isEmpty()) {
            return refusal(ResultCode.NOT_READY, "the node has no configuration yet");
        }
        if (document.get().service(inbound.service()).isEmpty()) {
            return refusal(ResultCode.UNKNOWN_SERVICE, "no service " + inbound.service());
        }
        Optional<Kind> kind = document.get().kind(inbound.service(), inbound.kind());
        if (kind.isEmpty()) {
            return refusal(ResultCode.UNKNOWN_KIND, "no kind " + inbound.kind() + " of service " + inbound.service());
        }
        call.kind = kind.get();
        long longest = call.kind.deadline().toNanos();
        long asked = TimeUnit.MILLISECONDS.toNanos(
                inbound.deadlineMilliseconds().orElse(call.kind.deadline().toMillis()));
        call.deadline = inbound.arrived() + Math.min(longest, asked);
        return inbound.fromBackendServer() ? inherit(call) : begin(call);
    }

    /** Prepares a call that a backend server makes: it belongs to the request that runs there. */
    private Optional<Refusal> inherit(EntryCall call) {
        if (call.inbound.context().isEmpty()) {
            // Without its context a call cannot share the request's allowance, so it gets none.
            call.priority = rootPriority(call);
            call.allow(new Share(0, false), callsBelow(call.kind));
            return Optional.empty();
        }
        Optional<CallContexts.Context> context =
                environment.contexts().find(call.inbound.context().get());
        if (context.isEmpty()) {
            // Taken as a new request, calls for a request that has ended would escape its bound on retries.
            return refusal(ResultCode.CANCELLED_BEFORE_RUN, "the request that this call is made for has ended");
        }
        call.parent = context;
        call.requestId = context.get().requestId();
        call.priority = context.get().priority();
        call.deadline = Math.min(call.deadline, context.get().deadline());
        if (needsTicket(call)) {
            // Asking for a ticket runs nothing, so it takes nothing from the request's declared calls.
            call.parent = Optional.empty();
            call.allow(new Share(0, false), callsBelow(call.kind));
            return Optional.empty();
        }
        Optional<Share> share = context.get().ledger().take(call.kind.service(), call.kind.name());
        if (share.isEmpty()) {
            call.parent = Optional.empty();
            return refusal(ResultCode.RETRY_BOUND_REACHED, "the request has made its calls and spent its retries");
        }
        call.allow(share.get(), callsBelow(call.kind));
        return Optional.empty();
    }

    /** Prepares a call from an outside caller; its repeats count against the same bound. */
    private Optional<Refusal> begin(EntryCall call) {
        Policy policy = document.orElseThrow().policy();
        int repeats = call.inbound.attempt() - 1;
        call.priority = rootPriority(call);
        call.allow(new Share(Math.max(0, policy.retriesPerRequest() - repeats), false), callsBelow(call.kind));
        if (repeats == 0 || call.inbound.ticket().isPresent()) {
            return Optional.empty();
        }
        if (repeats > policy.retriesPerRequest()) {
            return refusal(ResultCode.RETRY_BOUND_REACHED, "attempt " + call.inbound.attempt() + " of the caller");
        }
        if (!retryBudget.tryRetry(environment.now())) {
            return refusal(ResultCode.RETRY_BOUND_REACHED, "the node's budget for retries is spent");
        }
        return Optional.empty();
    }

    private static Priority rootPriority(EntryCall call) {
        return Priority.of(call.kind.priorityClass(), Priority.cohortOf(call.inbound.requestId()));
    }

    private static Optional<Refusal> refusal(ResultCode code, String detail) {
        return Optional.of(Refusal.of(code, detail));
    }
}
