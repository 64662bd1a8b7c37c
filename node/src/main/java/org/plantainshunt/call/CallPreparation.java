package org.plantainshunt.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.plantainshunt.admission.Priority;
import org.plantainshunt.configuration.AllowedCall;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.Policy;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.retry.DeclaredCalls;
import org.plantainshunt.retry.RetryBudget;
import org.plantainshunt.retry.RetryShare;

/**
 * Determines the kind, priority, deadline and retry allowance of a call.
 *
 * <p>A call that the backend server makes for a request that it runs gets the id and the priority of that request and a
 * share of its retry allowance, and must end by its deadline. Any other call starts a new request; one that names a
 * request running here by its id still gets the priority and the deadline of that request. Confined to the decision
 * thread.
 */
final class CallPreparation {
    private final Environment environment;
    private final Map<Kind, Set<String>> downstreamServices = new HashMap<>();
    private final Map<Kind, Set<Kind>> observedCalls = new HashMap<>();
    private DeclaredCalls declaredCalls = new DeclaredCalls(this::kind);
    private Optional<Document> document = Optional.empty();
    private final Map<BudgetKey, RetryBudget> retryBudgets = new HashMap<>();

    CallPreparation(Environment environment) {
        this.environment = environment;
    }

    void configure(Document accepted) {
        document = Optional.of(accepted);
        downstreamServices.clear();
        observedCalls.clear();
        declaredCalls = new DeclaredCalls(this::kind);
        retryBudgets.keySet().removeIf(key -> accepted.service(key.service()).isEmpty());
        retryBudgets
                .values()
                .forEach(budget -> budget.configure(accepted.policy().retryBudget()));
    }

    Optional<Document> document() {
        return document;
    }

    /**
     * Returns the retry budget of a call's service and priority class. With a single budget, retries of shed classes
     * would use up those of important calls, and retries to one service those to another.
     */
    RetryBudget retryBudget(EntryCall call) {
        Policy policy = document.orElseThrow().policy();
        return retryBudgets.computeIfAbsent(
                new BudgetKey(call.kind.service(), call.priority.priorityClass()),
                key -> new RetryBudget(policy.retryBudget(), policy.retryFloor()));
    }

    /** Returns whether a call only requests a ticket, which runs nothing at the backend server. */
    static boolean needsTicket(EntryCall call) {
        return call.kind.ticketed() && call.inbound.ticket().isEmpty();
    }

    private int downstreamCalls(Kind kind) {
        return declaredCalls.countBelow(kind);
    }

    /** Returns the services that a request of this kind may call, directly or through other services. */
    Set<String> downstreamServices(Kind kind) {
        Set<String> cached = downstreamServices.get(kind);
        if (cached != null) {
            return cached;
        }
        Set<String> found = new HashSet<>();
        for (AllowedCall allowedCall : kind.calls()) {
            found.add(allowedCall.service());
            kind(allowedCall.service(), allowedCall.kind()).ifPresent(next -> found.addAll(downstreamServices(next)));
        }
        downstreamServices.put(kind, found);
        return found;
    }

    /** Returns the kinds of the calls so far that named a running request of this kind by its id, without a token. */
    Set<Kind> observedCalls(Kind kind) {
        return observedCalls.getOrDefault(kind, Set.of());
    }

    Optional<Kind> kind(String service, String name) {
        return document.flatMap(known -> known.kind(service, name));
    }

    /** Sets the kind, priority, deadline and retry allowance of a call, or returns why it is refused. */
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
        long maxDeadline = call.kind.deadline().toNanos();
        long requestedDeadline = TimeUnit.MILLISECONDS.toNanos(
                inbound.deadlineMilliseconds().orElse(call.kind.deadline().toMillis()));
        call.deadline = inbound.arrivedAt() + Math.min(maxDeadline, requestedDeadline);
        if (inbound.fromBackendServer()) {
            return prepareFromBackendServer(call);
        }
        Optional<CallContexts.Context> parent = inbound.context().flatMap(environment.contexts()::findRequest);
        if (parent.isEmpty()) {
            return prepareRoot(call);
        }
        return prepareNested(call, parent.get());
    }

    /** Prepares a call that a backend server makes; it inherits from the request that runs there. */
    private Optional<Refusal> prepareFromBackendServer(EntryCall call) {
        if (call.inbound.context().isEmpty()) {
            // A call without a context cannot share the request's retry allowance, so it gets none.
            call.priority = rootPriority(call);
            call.setAllowance(new RetryShare(0, false), downstreamCalls(call.kind));
            return Optional.empty();
        }
        Optional<CallContexts.Context> context =
                environment.contexts().find(call.inbound.context().get());
        if (context.isEmpty()) {
            // If they were treated as new requests, calls for an ended request would escape its retry limit.
            return refusal(ResultCode.CANCELLED_BEFORE_RUN, "the request that this call is made for has ended");
        }
        call.parent = context;
        call.requestId = context.get().requestId();
        call.priority = context.get().priority();
        call.setProgress(context.get().progress());
        call.deadline = Math.min(call.deadline, context.get().deadline());
        if (needsTicket(call)) {
            // Requesting a ticket runs nothing, so it does not count against the request's declared calls.
            call.parent = Optional.empty();
            call.setAllowance(new RetryShare(0, false), downstreamCalls(call.kind));
            return Optional.empty();
        }
        Optional<RetryShare> share = context.get().ledger().take(call.kind.service(), call.kind.name());
        if (share.isEmpty()) {
            call.parent = Optional.empty();
            return refusal(ResultCode.RETRY_BOUND_REACHED, "the request has made its calls and spent its retries");
        }
        call.setAllowance(share.get(), downstreamCalls(call.kind));
        return Optional.empty();
    }

    /**
     * Prepares a call that starts a new request. The caller's own retries reduce its allowance; those without a ticket
     * also count against the node's retry budget.
     */
    private Optional<Refusal> prepareRoot(EntryCall call) {
        Policy policy = document.orElseThrow().policy();
        int callerRetries = call.inbound.attempt() - 1;
        call.priority = rootPriority(call);
        call.setAllowance(
                new RetryShare(Math.max(0, maxRetries(call.kind, policy) - callerRetries), false),
                downstreamCalls(call.kind));
        if (callerRetries == 0 || call.inbound.ticket().isPresent()) {
            return Optional.empty();
        }
        if (callerRetries > policy.retriesPerRequest()) {
            return refusal(ResultCode.RETRY_BOUND_REACHED, "attempt " + call.inbound.attempt() + " of the caller");
        }
        if (!retryBudget(call).tryRetry(environment.now())) {
            return refusal(ResultCode.RETRY_BOUND_REACHED, "the node's budget for retries is spent");
        }
        return Optional.empty();
    }

    /**
     * Prepares a call that names a request running here by its id, without a token. Since the id proves nothing, the
     * call does not share the request's retry allowance.
     */
    private Optional<Refusal> prepareNested(EntryCall call, CallContexts.Context request) {
        Optional<Refusal> refusal = prepareRoot(call);
        call.nested = true;
        call.priority = request.priority();
        call.setProgress(request.progress());
        call.deadline = Math.min(call.deadline, request.deadline());
        observedCalls.computeIfAbsent(request.kind(), kind -> new HashSet<>()).add(call.kind);
        return refusal;
    }

    private static int maxRetries(Kind kind, Policy policy) {
        int attempts = kind.maxAttempts().orElse(Integer.MAX_VALUE);
        return Math.min(policy.retriesPerRequest(), attempts - 1);
    }

    private static Priority rootPriority(EntryCall call) {
        return Priority.of(call.kind.priorityClass(), Priority.cohortOf(call.inbound.requestId()));
    }

    private static Optional<Refusal> refusal(ResultCode code, String detail) {
        return Optional.of(Refusal.of(code, detail));
    }

    /** The service and priority class that a retry budget applies to. */
    private record BudgetKey(String service, PriorityClass priorityClass) {
        // The generated methods link method handles at run time; each call needs both.
        @Override
        public boolean equals(Object other) {
            return other instanceof BudgetKey key && service.equals(key.service) && priorityClass == key.priorityClass;
        }

        @Override
        public int hashCode() {
            return 31 * service.hashCode() + priorityClass.ordinal();
        }
    }
}
