package org.plantainshunt.bench.policy;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.plantainshunt.configuration.DataCentre;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;
import org.plantainshunt.retry.AllowanceLedger;
import org.plantainshunt.retry.AttemptAllowance;
import org.plantainshunt.retry.RetryBudget;
import org.plantainshunt.retry.RetryShare;
import org.plantainshunt.routing.BackendServerChoice;
import org.plantainshunt.routing.Distance;
import org.plantainshunt.routing.DownstreamLevels;
import org.plantainshunt.routing.LinkBudget;
import org.plantainshunt.routing.Upstream;
import org.plantainshunt.routing.UpstreamEnd;

/**
 * Entry policy with the project's backend server choice, downstream levels, retry bounds and link budget.
 *
 * <p>Confined to one thread.
 */
final class PlantainshuntEntryPolicy implements EntryPolicy {
    private static final long LINK_RETRY_AFTER_MILLISECONDS = 1_000;

    private final Simulation simulation;
    private final Node node;
    private final BackendServerChoice choice;
    private final DownstreamLevels levels;
    /**
     * One budget per class. With a single budget for all classes, the many retries of shed classes exhausted it, and
     * important calls that one server had refused were not retried at another.
     */
    private final Map<PriorityClass, RetryBudget> budgets = new EnumMap<>(PriorityClass.class);

    private final LinkBudget linkBudget;
    private final Map<String, List<Upstream>> upstreams = new HashMap<>();
    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<InboundCall, AllowanceLedger> ledgers = new IdentityHashMap<>();
    private final Map<OutboundCall, Long> callIds = new IdentityHashMap<>();
    private final Map<OutboundCall, RetryShare> shares = new IdentityHashMap<>();
    private long nextCallId;

    PlantainshuntEntryPolicy(Simulation simulation, Node node) {
        this.simulation = simulation;
        this.node = node;
        choice = new BackendServerChoice(simulation.newRandom());
        levels = new DownstreamLevels(simulation.deployment()::kind);
        for (PriorityClass priorityClass : PriorityClass.values()) {
            budgets.put(
                    priorityClass,
                    new RetryBudget(simulation.deployment().policy().retryBudget()));
        }
        linkBudget = new LinkBudget(simulation.deployment().link().bitsPerSecond(), simulation.nodesIn(node.region()));
    }

    @Override
    public Route routeFirstAttempt(OutboundCall call, long now) {
        Optional<RetryShare> share =
                call.parent.isPresent() ? takeShare(call, call.parent.get()) : takeShare(call.request, now);
        if (share.isEmpty()) {
            return Route.refuse(Reply.failure(ResultCode.RETRY_BOUND_REACHED, 0));
        }
        if (now >= call.deadline) {
            return Route.refuse(Reply.failure(ResultCode.DEADLINE_TOO_SHORT, 0));
        }
        Optional<Refusal> refusal = levels.check(call.kindProfile.kind(), call.request.priority.value(), now);
        if (refusal.isPresent()) {
            return Route.refuse(
                    Reply.failure(refusal.get().code(), refusal.get().retryAfterMilliseconds()));
        }
        AttemptAllowance allowance = new AttemptAllowance(share.get(), declaredDownstreamCalls(call.kindProfile));
        call.setAllowance(allowance);
        call.setAttemptShare(allowance.firstAttempt());
        budget(call.request).attempted(now);
        return choose(call, now);
    }

    @Override
    public Optional<Node> chooseRetryServer(OutboundCall call, Reply failed, long now) {
        if (!failed.code().retryElsewhere() || now >= call.deadline) {
            return Optional.empty();
        }
        if (levels.check(call.kindProfile.kind(), call.request.priority.value(), now)
                        .isPresent()
                || !budget(call.request).tryRetry(now)) {
            return Optional.empty();
        }
        Optional<RetryShare> share = call.allowance().orElseThrow().retry(false);
        if (share.isEmpty()) {
            return Optional.empty();
        }
        call.setAttemptShare(share.get());
        return choose(call, now).server();
    }

    /**
     * Ends the attempt at the upstream, takes back its unused retries and applies the node's load report.
     *
     * <p>A report lists only levels below 512, so a downstream service that it omits admits all calls. Without this
     * rule, an entry node would keep a low level for seconds after the last node that reported it has seen the service
     * recover.
     */
    @Override
    public void attemptEnded(OutboundCall call, Node server, Reply reply, long now) {
        Upstream upstream = upstream(server);
        upstream.ended(callIds.remove(call), upstreamEnd(reply), now);
        if (reply.report().isEmpty()) {
            return;
        }
        NodeReport report = reply.report().get();
        call.allowance().orElseThrow().giveBack(call.attemptShare(), reply.unusedAllowance());
        upstream.reported(report.inFlight(), report.queued(), now);
        levels.report(server.name(), server.service.name(), report.level(), now);
        for (String service : call.kindProfile.downstreamServices()) {
            int level = report.levels().getOrDefault(service, DownstreamLevels.ADMITS_ALL);
            levels.report(server.name(), service, level, now);
        }
    }

    @Override
    public void callEnded(OutboundCall call) {
        RetryShare share = shares.remove(call);
        if (share == null || call.parent.isEmpty()) {
            return;
        }
        AllowanceLedger ledger = ledgers.get(call.parent.get());
        if (ledger != null) {
            ledger.giveBack(
                    share, call.allowance().map(AttemptAllowance::remaining).orElse(share.allowance()));
        }
    }

    @Override
    public Map<String, Integer> levels(long now) {
        return levels.levels(now);
    }

    @Override
    public int closeAllowance(InboundCall inbound) {
        AllowanceLedger ledger = ledgers.remove(inbound);
        return ledger == null ? inbound.share.allowance() : ledger.close();
    }

    private RetryBudget budget(Request request) {
        return budgets.get(request.priorityClass());
    }

    /** Returns the retry share of a caller's request; each repeat that the caller declares counts as one retry. */
    private Optional<RetryShare> takeShare(Request request, long now) {
        int repeats = request.declaredAttempt - 1;
        int bound = simulation.deployment().policy().retriesPerRequest();
        if (repeats > bound || repeats > 0 && !budget(request).tryRetry(now)) {
            return Optional.empty();
        }
        return Optional.of(new RetryShare(bound - repeats, false));
    }

    private Optional<RetryShare> takeShare(OutboundCall call, InboundCall parent) {
        AllowanceLedger ledger = ledgers.computeIfAbsent(
                parent,
                key -> AllowanceLedger.of(
                        key.share, key.outboundCall.kindProfile.kind().calls()));
        Kind kind = call.kindProfile.kind();
        Optional<RetryShare> share = ledger.take(kind.service(), kind.name());
        share.ifPresent(taken -> shares.put(call, taken));
        return share;
    }

    private Route choose(OutboundCall call, long now) {
        List<Upstream> candidates = upstreams(call.kindProfile.kind().service());
        Optional<Upstream> chosen = choice.choose(candidates, call.triedNodes, call.request.priorityClass(), now);
        if (chosen.isPresent() && !tryTakeLinkBudget(call, chosen.get(), now)) {
            List<Upstream> sameRegionCandidates = new ArrayList<>(candidates);
            sameRegionCandidates.removeIf(upstream -> upstream.distance() == Distance.OTHER_REGION);
            chosen = choice.choose(sameRegionCandidates, call.triedNodes, call.request.priorityClass(), now);
            if (chosen.isEmpty()) {
                return Route.refuse(Reply.failure(ResultCode.LINK_BUDGET_SPENT, LINK_RETRY_AFTER_MILLISECONDS));
            }
        }
        if (chosen.isEmpty()) {
            return Route.refuse(Reply.failure(ResultCode.NO_BACKEND_SERVER, 0));
        }
        call.triedNodes.add(chosen.get().vm().name());
        long id = nextCallId++;
        callIds.put(call, id);
        chosen.get().started(id, now);
        return Route.to(nodes.get(chosen.get().vm().name()));
    }

    /**
     * Charges a call to another region to the link budget; returns false if the budget does not suffice.
     *
     * <p>The charge includes the expected answer, which a real node learns from earlier answers of the kind.
     */
    private boolean tryTakeLinkBudget(OutboundCall call, Upstream upstream, long now) {
        return upstream.distance() != Distance.OTHER_REGION
                || linkBudget.tryTake(
                        call.request.priorityClass(),
                        call.kindProfile.requestBytes() + call.kindProfile.answerBytes(),
                        now);
    }

    private Upstream upstream(Node server) {
        for (Upstream upstream : upstreams(server.service.name())) {
            if (upstream.vm().name().equals(server.name())) {
                return upstream;
            }
        }
        throw new IllegalStateException("no upstream for node " + server.name());
    }

    private List<Upstream> upstreams(String service) {
        return upstreams.computeIfAbsent(service, name -> simulation.servers(name).stream()
                .map(this::createUpstream)
                .toList());
    }

    private Upstream createUpstream(Node server) {
        nodes.put(server.name(), server);
        DataCentre dataCentreDefinition = simulation.deployment().dataCentres().get(server.dataCentre);
        Vm vm = new Vm(server.name(), server.service.name(), dataCentreDefinition.name(), "127.0.0.1", 1, false);
        return new Upstream(vm, distance(server), server.service.slots());
    }

    private Distance distance(Node server) {
        if (server.dataCentre == node.dataCentre) {
            return Distance.SAME_DATA_CENTRE;
        }
        return server.region().equals(node.region()) ? Distance.SAME_REGION : Distance.OTHER_REGION;
    }

    private static int declaredDownstreamCalls(KindProfile profile) {
        int calls = 0;
        for (KindProfile child : profile.children()) {
            calls += 1 + declaredDownstreamCalls(child);
        }
        return calls;
    }

    private static UpstreamEnd upstreamEnd(Reply reply) {
        if (reply.successful()) {
            return UpstreamEnd.ANSWERED;
        }
        if (reply.code().runState() == RunState.NOT_RUN) {
            return UpstreamEnd.REFUSED;
        }
        // Error answers and work cancelled for running too long carry no information about the server's speed.
        return reply.code() == ResultCode.DEADLINE_PASSED_AFTER_HANDOVER ? UpstreamEnd.FAILED : UpstreamEnd.CANCELLED;
    }
}
