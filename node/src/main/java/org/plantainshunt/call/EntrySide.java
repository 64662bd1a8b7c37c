package org.plantainshunt.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import org.plantainshunt.admission.FailureShedding;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.execution.Ticket;
import org.plantainshunt.membership.Membership;
import org.plantainshunt.protocol.AnswerListener;
import org.plantainshunt.protocol.AnswerMessage;
import org.plantainshunt.protocol.CallMessage;
import org.plantainshunt.protocol.CancelHandle;
import org.plantainshunt.protocol.InnerConnection;
import org.plantainshunt.protocol.LoadReport;
import org.plantainshunt.protocol.RefusalMessage;
import org.plantainshunt.protocol.TicketListener;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;
import org.plantainshunt.retry.RetryShare;
import org.plantainshunt.routing.BackendServerChoice;
import org.plantainshunt.routing.Distance;
import org.plantainshunt.routing.Upstream;
import org.plantainshunt.routing.UpstreamEnd;

/**
 * Decides for the calls that enter the system at this node: early refusal, choice of the backend server, retries.
 *
 * <p>Each call gets exactly one reply. A call is retried only within its allowance and the node's retry budget, and
 * only if the earlier attempt did not run or the call may run twice. If an attempt was answered with an error and no
 * later one is answered, the caller gets that error. An at-most-once call with a ticket is sent only to the VM that
 * issued the ticket, and "not run" is reported for it only if the issuing process has voided the ticket. When the
 * process stops, each call ends while its reply can still be delivered. Confined to the decision thread.
 */
public final class EntrySide {
    /** How long past the deadline to wait for the serving node's result, which is more precise than a timeout here. */
    private static final long RESULT_GRACE_PERIOD = TimeUnit.MILLISECONDS.toNanos(150);

    private static final long ESTIMATED_HEADER_BYTES = 512;

    /**
     * The retry-after time for requests that are shed because their kind fails, in milliseconds. It is long because
     * the refused fraction falls slowly.
     */
    private static final long RETRY_AFTER_SHED_MILLISECONDS = 2_000;

    static final int MIN_SERVER_ERROR_STATUS = 500;

    /**
     * The number of retries that are charged to the budget if the earlier attempt may have run. Such a retry repeats
     * the call's own downstream calls, and the last service of a chain receives the repeated calls of the retries at
     * every service above it.
     */
    private static final int RETRY_COST_AFTER_POSSIBLE_RUN = 4;

    private final String ownVm;
    private final ServingSide serving;
    private final Environment environment;
    private final Membership membership;
    private final Connections connections;
    private final BackendServerChoice choice;
    private final LinkBudgets links;
    private final FailureShedding shedding;
    private final Map<Long, EntryCall> calls = new HashMap<>();
    private final CallPreparation preparation;
    private final ServiceLevels levels;
    private final CallsEnd callsEnd = new CallsEnd();
    private long nextId;

    EntrySide(
            String ownVm,
            ServingSide serving,
            Environment environment,
            Membership membership,
            Connections connections,
            BackendServerChoice choice,
            LinkBudgets links,
            FailureShedding shedding) {
        this.shedding = shedding;
        this.ownVm = ownVm;
        this.serving = serving;
        this.environment = environment;
        this.preparation = new CallPreparation(environment);
        this.levels = new ServiceLevels(preparation);
        this.membership = membership;
        this.connections = connections;
        this.choice = choice;
        this.links = links;
    }

    /** Applies a configuration. */
    void configure(Document accepted) {
        preparation.configure(accepted);
        levels.clearReported();
        links.configure(accepted);
        choice.spilloverWaitMultiple(accepted.policy().spilloverWaitMultiple());
    }

    /** Starts a call and returns a handle that cancels it if the caller disconnects. */
    CancelHandle call(InboundCall inbound, ReplyListener reply) {
        EntryCall call = new EntryCall(nextId++, inbound, reply);
        calls.put(call.id, call);
        call.hop = environment.tracer().begin("entry", inbound.service(), inbound.kind(), inbound.traceParent());
        Optional<Refusal> refusal = preparation.prepare(call);
        if (refusal.isPresent()) {
            refuse(call, refusal.get());
            return () -> {};
        }
        preparation.retryBudget(call).attempted(environment.now());
        callsEnd.limit(call);
        route(call);
        return () -> environment.taskRunner().submit(() -> cancel(call));
    }

    /** Ends all calls by a time, before this process ends. */
    void stop(long endAt) {
        callsEnd.set(endAt);
        calls.values().forEach(callsEnd::limit);
    }

    /** Ends calls whose deadline has passed. */
    void tick(long now) {
        for (EntryCall call : new ArrayList<>(calls.values())) {
            if (CallsEnd.isWithdrawalDue(call, now)) {
                withdraw(call);
            }
            if (now >= call.deadline + RESULT_GRACE_PERIOD) {
                timeOut(call);
            }
        }
    }

    /** Returns the admission levels of those downstream services of a kind of request that shed load. */
    Map<String, Integer> downstreamLevels(Kind kind) {
        return levels.downstreamLevels(kind, environment.now());
    }

    /** Returns the number of calls without a reply. */
    int openCalls() {
        return calls.size();
    }

    private void route(EntryCall call) {
        if (membership.listRevision() < 0) {
            refuse(call, Refusal.of(ResultCode.NOT_READY, "the node has no VM list yet"));
            return;
        }
        if (call.inbound.ticket().isPresent() && call.kind.atMostOnce()) {
            useTicket(call);
            return;
        }
        Optional<Refusal> refusal = downstreamRefusal(call, environment.now());
        if (refusal.isPresent()) {
            refuse(call, refusal.get());
            return;
        }
        if (call.parent.isEmpty() && !call.nested && shedding.refuses(call.kind, environment.now())) {
            refuse(
                    call,
                    new Refusal(
                            ResultCode.OVERLOADED_DOWNSTREAM,
                            "requests of this kind fail at their backend servers; refused share "
                                    + shedding.refusedShare(call.kind),
                            RETRY_AFTER_SHED_MILLISECONDS));
            return;
        }
        dispatch(call, call.allowance.firstAttempt());
    }

    private void useTicket(EntryCall call) {
        String ticket = call.inbound.ticket().orElseThrow();
        Optional<Upstream> upstream = Ticket.parse(ticket).flatMap(parsed -> membership.upstream(parsed.node()));
        if (upstream.isEmpty()) {
            refuse(call, Refusal.of(ResultCode.OUTCOME_UNKNOWN, "the VM that issued the ticket is not known here"));
            return;
        }
        send(call, upstream.get(), call.allowance.firstAttempt());
    }

    private void dispatch(EntryCall call, RetryShare share) {
        long now = environment.now();
        if (now >= call.deadline) {
            refuse(call, Refusal.of(ResultCode.DEADLINE_TOO_SHORT, "the deadline passed before a server was chosen"));
            return;
        }
        boolean linkFull = false;
        while (true) {
            List<Upstream> usable = membership.usable(call.kind.service(), now);
            Optional<Upstream> chosen = choice.choose(usable, call.excludedVms, call.priority.priorityClass(), now);
            if (chosen.isEmpty()) {
                refuse(call, noServerRefusal(call, linkFull));
                return;
            }
            if (takeLinkBudget(call, chosen.get(), now)) {
                send(call, chosen.get(), share);
                return;
            }
            linkFull = true;
            call.excludedVms.add(chosen.get().vm().name());
        }
    }

    private Refusal noServerRefusal(EntryCall call, boolean linkFull) {
        if (call.lastRefusal.isPresent()) {
            return call.lastRefusal.get();
        }
        return linkFull
                ? Refusal.of(ResultCode.LINK_BUDGET_SPENT, "only servers in another region are left")
                : Refusal.of(ResultCode.NO_BACKEND_SERVER, "no usable backend server of " + call.kind.service());
    }

    private boolean takeLinkBudget(EntryCall call, Upstream upstream, long now) {
        if (upstream.distance() != Distance.OTHER_REGION) {
            return true;
        }
        long estimatedBytes = call.inbound.body().length + ESTIMATED_HEADER_BYTES;
        return links.tryTake(upstream.vm().dataCentre(), call.priority.priorityClass(), estimatedBytes, now);
    }

    private void send(EntryCall call, Upstream upstream, RetryShare share) {
        Attempt attempt = new Attempt(call, upstream, share);
        call.attempt = attempt;
        call.lastServer = upstream.vm().name();
        upstream.started(attempt.id, environment.now());
        Vm vm = upstream.vm();
        if (CallPreparation.needsTicket(call)) {
            requestTicket(attempt);
            return;
        }
        if (vm.name().equals(ownVm)) {
            attempt.sent = true;
            attempt.handle = serving.call(ownVm, message(attempt), call.inbound.arrivedAt(), attempt);
            return;
        }
        connections.withConnection(vm, connection -> sendOver(attempt, connection), attempt::connectFailed);
    }

    private void sendOver(Attempt attempt, InnerConnection connection) {
        EntryCall call = attempt.call;
        if (call.done || call.attempt != attempt) {
            return;
        }
        attempt.sent = true;
        attempt.handle = connection.call(message(attempt), attempt.onDecisionThread());
    }

    private CallMessage message(Attempt attempt) {
        EntryCall call = attempt.call;
        InboundCall inbound = call.inbound;
        long left = Math.max(0, TimeUnit.NANOSECONDS.toMillis(call.deadline - environment.now()));
        return new CallMessage(
                call.kind.service(),
                call.kind.name(),
                inbound.path(),
                inbound.method(),
                inbound.headers(),
                inbound.body(),
                call.requestId,
                call.priority.value(),
                call.continues,
                left,
                attempt.share,
                inbound.ticket(),
                call.hop.traceParent(),
                preparation.document().map(known -> known.version().number()).orElse(0L));
    }

    private void requestTicket(Attempt attempt) {
        EntryCall call = attempt.call;
        Vm vm = attempt.upstream.vm();
        TicketReply reply = new TicketReply(attempt);
        if (vm.name().equals(ownVm)) {
            serving.ticket(call.kind.name(), reply);
            return;
        }
        connections.withConnection(
                vm,
                connection -> connection.requestTicket(call.kind.service(), call.kind.name(), reply),
                attempt::connectFailed);
    }

    private void answered(Attempt attempt, AnswerMessage answer) {
        EntryCall call = attempt.call;
        boolean error = answer.status() >= MIN_SERVER_ERROR_STATUS;
        boolean faulty = error && hasHigherErrorRateThanPeers(attempt.upstream, call.kind);
        attempt.upstream.answered(error, environment.now());
        UpstreamEnd end = faulty ? UpstreamEnd.FAILED : UpstreamEnd.ANSWERED;
        if (!end(attempt, end, answer.load(), OptionalInt.of(answer.unusedAllowance()))) {
            return;
        }
        recordEnd(call, error);
        CallReply reply = new CallReply(
                call.requestId,
                answer.code(),
                answer.status(),
                answer.headers(),
                answer.body(),
                Optional.empty(),
                call.inbound.ticket(),
                call.retries);
        if (!error) {
            reply(call, reply);
            return;
        }
        call.lastErrorAnswer = Optional.of(reply);
        Optional<RetryShare> share = takeRetryAfterError(call, faulty);
        if (share.isEmpty()) {
            reply(call, reply);
            return;
        }
        retry(call, attempt, share.get(), answer.code(), "the backend server answered with status " + answer.status());
    }

    private boolean hasHigherErrorRateThanPeers(Upstream upstream, Kind kind) {
        long now = environment.now();
        return BackendServerChoice.hasMoreErrorsThanPeers(upstream, membership.usable(kind.service(), now), now);
    }

    /**
     * Takes a retry for a call that was answered with an error. While many requests of the kind fail at all servers,
     * the cause is assumed to be a downstream service, so another server would fail too.
     */
    private Optional<RetryShare> takeRetryAfterError(EntryCall call, boolean faultyServer) {
        if (call.kind.atMostOnce() || !faultyServer && shedding.hasWidespreadFailures(call.kind, environment.now())) {
            return Optional.empty();
        }
        return takeRetry(call, true);
    }

    private void retry(EntryCall call, Attempt failed, RetryShare share, ResultCode code, String detail) {
        environment.recorder().retried(call.inbound, decisionBasis(call), code, detail, environment.now());
        call.retries++;
        call.excludedVms.add(failed.upstream.vm().name());
        dispatch(call, share);
    }

    private void refused(Attempt attempt, RefusalMessage message) {
        EntryCall call = attempt.call;
        Refusal refusal = message.refusal();
        UpstreamEnd end = message.fromServingNode() && refusal.code().runState() == RunState.NOT_RUN
                ? UpstreamEnd.REFUSED
                : UpstreamEnd.FAILED;
        // If it is unknown how much of its share the attempt used, all of it counts as used.
        OptionalInt unused = message.fromServingNode() || refusal.code().runState() == RunState.NOT_RUN
                ? OptionalInt.of(message.unusedAllowance())
                : OptionalInt.empty();
        if (!end(attempt, end, message.load(), unused)) {
            return;
        }
        if (call.withdrawn) {
            refuse(call, CallsEnd.refusal(refusal.code().runState()));
            return;
        }
        if (refusal.code() == ResultCode.DEADLINE_PASSED_AFTER_HANDOVER) {
            recordEnd(call, true);
        }
        if (refusal.code() == ResultCode.DRAINING) {
            Upstream upstream = attempt.upstream;
            membership.draining(upstream.vm().name(), upstream.incarnation(), environment.now());
        }
        if (call.inbound.ticket().isPresent() && call.kind.atMostOnce()) {
            replyRefused(call, EarlierDeliveries.downgradeNotRun(refusal, message.fromServingNode()));
            return;
        }
        call.lastRefusal = Optional.of(refusal);
        Optional<RetryShare> share = takeRetry(call, refusal);
        if (share.isEmpty()) {
            refuse(call, refusal);
            return;
        }
        retry(call, attempt, share.get(), refusal.code(), refusal.detail());
    }

    private void recordEnd(EntryCall call, boolean failed) {
        shedding.ended(call.kind, failed, levels.lackedCapacity(call.kind, environment.now()), environment.now());
    }

    /** Refusing a call that continues a request would waste the work of its earlier calls. */
    private Optional<Refusal> downstreamRefusal(EntryCall call, long now) {
        return call.continues ? Optional.empty() : levels.check(call.kind, call.priority.value(), now);
    }

    private Optional<RetryShare> takeRetry(EntryCall call, Refusal refusal) {
        boolean outcomeUnknown =
                refusal.code() == ResultCode.OUTCOME_UNKNOWN || refusal.code() == ResultCode.ANSWER_CUT;
        boolean retryable = refusal.code().retryElsewhere() || outcomeUnknown && !call.kind.atMostOnce();
        return retryable ? takeRetry(call, outcomeUnknown) : Optional.empty();
    }

    /** Takes a retry from the node's budget and the call's allowance if both permit one. */
    private Optional<RetryShare> takeRetry(EntryCall call, boolean mayHaveRun) {
        long now = environment.now();
        if (call.allowance.remaining() == 0
                || now >= call.deadline
                || downstreamRefusal(call, now).isPresent()
                || !preparation.retryBudget(call).tryRetry(now, mayHaveRun ? RETRY_COST_AFTER_POSSIBLE_RUN : 1)) {
            return Optional.empty();
        }
        call.mayHaveRun |= mayHaveRun;
        return call.allowance.retry(call.mayHaveRun);
    }

    /** Ends an attempt and returns whether the call was still waiting for it. */
    private boolean end(Attempt attempt, UpstreamEnd end, LoadReport load, OptionalInt unusedAllowance) {
        long now = environment.now();
        attempt.finish(end, now);
        String vm = attempt.upstream.vm().name();
        attempt.upstream.reported(load.inFlight(), load.queued(), now);
        EntryCall call = attempt.call;
        levels.recordLevels(vm, call.kind, load, now);
        if (call.attempt != attempt || call.done) {
            return false;
        }
        call.attempt = null;
        unusedAllowance.ifPresent(unused -> call.allowance.giveBack(attempt.share, unused));
        return true;
    }

    /** Makes the serving node refuse the call if it has not been handed over; otherwise the call times out soon. */
    private void withdraw(EntryCall call) {
        call.withdrawn = true;
        if (call.attempt != null && call.attempt.sent) {
            call.attempt.cancel();
        }
    }

    private void timeOut(EntryCall call) {
        Attempt attempt = call.attempt;
        if (attempt == null || !attempt.sent) {
            refuse(call, Refusal.of(ResultCode.DEADLINE_TOO_SHORT, "the deadline passed before the request was sent"));
            return;
        }
        attempt.cancel();
        if (call.withdrawn) {
            refuse(call, CallsEnd.refusal(RunState.UNKNOWN));
            return;
        }
        recordEnd(call, true);
        refuse(call, Refusal.of(ResultCode.DEADLINE_PASSED_AFTER_HANDOVER, "no verdict of the serving node in time"));
    }

    private void cancel(EntryCall call) {
        if (call.done) {
            return;
        }
        Attempt attempt = call.attempt;
        if (attempt != null && attempt.sent) {
            attempt.cancel();
        }
        refuse(call, Refusal.of(ResultCode.CANCELLED_RUNNING, "the caller went away"));
    }

    /**
     * Refuses a call, by this node's own decision or with the refusal of its last attempt. Neither says whether earlier
     * deliveries ran, so "not run" is replaced by "outcome unknown" if there may have been any.
     */
    private void refuse(EntryCall call, Refusal refusal) {
        boolean earlierDelivery = call.inbound.ticket().isPresent() || call.mayHaveRun;
        replyRefused(call, earlierDelivery ? EarlierDeliveries.downgradeNotRun(refusal, false) : refusal);
    }

    /** Replies with the refusal, or with the last error answer if there is one and the caller has not cancelled. */
    private void replyRefused(EntryCall call, Refusal refusal) {
        if (call.lastErrorAnswer.isPresent() && refusal.code() != ResultCode.CANCELLED_RUNNING) {
            reply(call, call.lastErrorAnswer.get());
            return;
        }
        reply(call, CallReply.refused(call.requestId, refusal, call.inbound.ticket(), call.retries));
    }

    private void reply(EntryCall call, CallReply reply) {
        if (call.done) {
            return;
        }
        call.done = true;
        calls.remove(call.id);
        call.parent.ifPresent(parent -> parent.ledger().giveBack(call.share, call.allowance.remaining()));
        if (call.attempt != null) {
            call.attempt.finish(UpstreamEnd.CANCELLED, environment.now());
        }
        call.updateProgress(reply);
        call.hop.end(call.requestId, reply.code());
        environment.recorder().replied(call.inbound, reply, decisionBasis(call), environment.now());
        call.reply.replied(reply);
    }

    private CallRecorder.Basis decisionBasis(EntryCall call) {
        return new CallRecorder.Basis(
                call.lastServer,
                preparation.document().map(known -> known.version().number()).orElse(0L),
                membership.listRevision(),
                call.kind == null ? 0 : shedding.refusedShare(call.kind));
    }

    /** One attempt of a call at one backend server. */
    final class Attempt implements AnswerListener {
        private final long id = nextId++;
        private final EntryCall call;
        private final Upstream upstream;
        private CancelHandle handle = () -> {};
        private final RetryShare share;
        private boolean sent;
        private boolean finished;

        Attempt(EntryCall call, Upstream upstream, RetryShare share) {
            this.call = call;
            this.upstream = upstream;
            this.share = share;
        }

        @Override
        public void answered(AnswerMessage message) {
            EntrySide.this.answered(this, message);
        }

        @Override
        public void refused(RefusalMessage message) {
            EntrySide.this.refused(this, message);
        }

        /** A repeatable call is better sent to another server. */
        @Override
        public boolean waitsForSilentPeer() {
            return call.kind.atMostOnce();
        }

        /** Returns a listener that any thread may call; it passes the result to the decision thread. */
        AnswerListener onDecisionThread() {
            boolean waits = waitsForSilentPeer();
            return new AnswerListener() {
                @Override
                public boolean waitsForSilentPeer() {
                    return waits;
                }

                @Override
                public void answered(AnswerMessage message) {
                    environment.taskRunner().submit(() -> EntrySide.this.answered(Attempt.this, message));
                }

                @Override
                public void refused(RefusalMessage message) {
                    environment.taskRunner().submit(() -> EntrySide.this.refused(Attempt.this, message));
                }
            };
        }

        void connectFailed(String detail) {
            LoadReport none = new LoadReport(0, 0, Map.of());
            refused(new RefusalMessage(Refusal.of(ResultCode.CONNECT_FAILED, detail), share.allowance(), none, false));
        }

        void cancel() {
            handle.cancel();
        }

        void finish(UpstreamEnd end, long now) {
            if (finished) {
                return;
            }
            finished = true;
            upstream.ended(id, end, now);
        }
    }

    /** Replies to the caller with a granted ticket, and handles a refusal like that of a call. */
    private final class TicketReply implements TicketListener {
        private final Attempt attempt;

        TicketReply(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void granted(String ticket) {
            environment.taskRunner().submit(() -> {
                attempt.finish(UpstreamEnd.CANCELLED, environment.now());
                EntryCall call = attempt.call;
                Refusal refusal = Refusal.of(ResultCode.TICKET_REQUIRED, "repeat the request with this ticket");
                reply(call, CallReply.refused(call.requestId, refusal, Optional.of(ticket), call.retries));
            });
        }

        @Override
        public void refused(Refusal refusal) {
            LoadReport none = new LoadReport(0, 0, Map.of());
            environment
                    .taskRunner()
                    .submit(() -> EntrySide.this.refused(attempt, new RefusalMessage(refusal, 0, none, true)));
        }
    }
}
