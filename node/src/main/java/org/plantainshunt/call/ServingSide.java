package org.plantainshunt.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.plantainshunt.admission.Admission;
import org.plantainshunt.admission.AdmissionQueue;
import org.plantainshunt.admission.CallEnd;
import org.plantainshunt.admission.CallEntry;
import org.plantainshunt.admission.Priority;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.execution.Outcome;
import org.plantainshunt.execution.Ticket;
import org.plantainshunt.execution.TicketTable;
import org.plantainshunt.execution.TicketUse;
import org.plantainshunt.protocol.AnswerListener;
import org.plantainshunt.protocol.AnswerMessage;
import org.plantainshunt.protocol.AnswerRules;
import org.plantainshunt.protocol.CallMessage;
import org.plantainshunt.protocol.CancelHandle;
import org.plantainshunt.protocol.Header;
import org.plantainshunt.protocol.LoadReport;
import org.plantainshunt.protocol.RefusalMessage;
import org.plantainshunt.protocol.TicketListener;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.RefusedException;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;
import org.plantainshunt.retry.AllowanceLedger;

/**
 * Decides which calls the backend server of this VM runs, in which order, and when a call is abandoned.
 *
 * <p>A request of a kind that needs tickets is handed over only if the ticket table decides START. After START, the
 * ticket is voided before a refusal reports "not run", so that no later delivery can run the request. The deadline is
 * checked immediately before the hand-over, and a call that was cancelled while it waited is not handed over. Confined
 * to the decision thread.
 */
public final class ServingSide {
    /** The header with which a backend server marks its answer to a request that it shed. */
    static final String SHED_HEADER = "Plantainshunt-Shed";

    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;

    /** The fraction of slots in use from which a refusal by the backend server counts as overload. */
    private static final double OVERLOAD_SLOT_FRACTION = 0.9;

    private final String serviceName;
    private final String callIdPrefix;
    private final BackendServer backendServer;
    private final Environment environment;
    private final TicketTable tickets;
    private final Function<Kind, Map<String, Integer>> downstreamLevels;
    private final Map<CallEntry, ServedCall> calls = new HashMap<>();
    private final Map<String, ServedCall> byTicket = new HashMap<>();
    private Optional<Document> document = Optional.empty();
    private OptionalInt ownSlots = OptionalInt.empty();
    private Optional<String> instance = Optional.empty();
    private AdmissionQueue queue;
    private boolean draining;
    private boolean unlisted;
    private long nextCall;

    ServingSide(
            CallCoordinator.Identity identity,
            BackendServer backendServer,
            Environment environment,
            TicketTable tickets,
            Function<Kind, Map<String, Integer>> downstreamLevels) {
        this.serviceName = identity.service();
        this.callIdPrefix = Long.toHexString(identity.incarnation()) + "-";
        this.backendServer = backendServer;
        this.environment = environment;
        this.tickets = tickets;
        this.downstreamLevels = downstreamLevels;
    }

    /** Applies a configuration; running calls continue, and waiting calls over a lower queue limit are refused. */
    void configure(Document accepted) {
        document = Optional.of(accepted);
        Optional<Service> service = accepted.service(serviceName);
        if (service.isEmpty()) {
            return;
        }
        Service limits = ownSlots.isPresent() ? service.get().withSlots(ownSlots.getAsInt()) : service.get();
        environment.recorder().limits(limits, environment.now());
        if (queue == null) {
            queue = new AdmissionQueue(limits, this::refusedByQueue);
            updateQueue();
            return;
        }
        queue.configure(limits);
        startReady(environment.now());
    }

    /**
     * Applies the VM list's entry for the backend server of this VM, or its absence. A backend server whose entry had
     * an instance id and is gone has left, whether it said so before or not, so nothing is handed over to it any more.
     */
    void updateOwnVm(Optional<Vm> own) {
        unlisted = own.isEmpty() && instance.isPresent();
        own.ifPresent(vm -> {
            instance = vm.instance();
            if (!ownSlots.equals(vm.slots())) {
                ownSlots = vm.slots();
                document.ifPresent(this::configure);
            }
        });
        updateQueue();
    }

    /** Accepts a call from an entry node, which may be this node. */
    CancelHandle call(String fromVm, CallMessage message, long arrivedAt, AnswerListener reply) {
        long now = environment.now();
        Optional<Kind> kind = document.flatMap(known -> known.kind(message.service(), message.kind()));
        Optional<Refusal> refusal = validate(message, kind);
        if (refusal.isPresent()) {
            refuse(reply, refusal.get(), message.share().allowance());
            return () -> {};
        }
        long deadline = arrivedAt + TimeUnit.MILLISECONDS.toNanos(message.deadlineMilliseconds());
        ServedCall call = new ServedCall(message, kind.get(), entry(message, kind.get(), deadline, arrivedAt), reply);
        if (kind.get().ticketed() && !beginTicket(call, now)) {
            return () -> cancelWaiter(message.ticket().orElse(""), reply);
        }
        calls.put(call.entry, call);
        environment.recorder().arrived(call.entry, message, now);
        if (queue.offer(call.entry, now) == Admission.START) {
            start(call, now);
        }
        startReady(now);
        return () -> environment.taskRunner().submit(() -> cancel(call));
    }

    /** Issues a ticket that only this process accepts. */
    void ticket(String kind, TicketListener reply) {
        if (document.isEmpty()) {
            reply.refused(Refusal.of(ResultCode.NOT_READY, "no configuration at the serving node"));
            return;
        }
        if (queue == null
                || document.flatMap(known -> known.kind(serviceName, kind)).isEmpty()) {
            reply.refused(Refusal.of(ResultCode.UNKNOWN_KIND, "no kind " + kind + " of service " + serviceName));
            return;
        }
        if (draining) {
            reply.refused(Refusal.of(ResultCode.DRAINING, "the backend server is leaving"));
            return;
        }
        if (unlisted) {
            reply.refused(Refusal.of(ResultCode.CONNECT_FAILED, "the backend server is no longer listed"));
            return;
        }
        try {
            Ticket ticket = tickets.issue(serviceName, kind, environment.now());
            reply.granted(ticket.toString());
        } catch (RefusedException e) {
            reply.refused(e.refusal());
        }
    }

    /** Refuses new and waiting calls from now on; running calls continue. */
    void drain() {
        if (draining) {
            return;
        }
        draining = true;
        tickets.stopIssuing();
        updateQueue();
    }

    /** Ends a drain, if there is one, so that new calls are accepted again. */
    void resume() {
        draining = false;
        tickets.resumeIssuing();
        updateQueue();
    }

    private void updateQueue() {
        if (queue == null) {
            return;
        }
        if (draining) {
            queue.drain();
        } else if (unlisted) {
            queue.unlist();
        } else {
            queue.reopen();
        }
    }

    boolean draining() {
        return draining;
    }

    /**
     * Starts calls that may start, abandons those past their deadline, stops long work that blocks short work, and
     * closes the exchanges of calls that are long overdue, which frees their slots.
     */
    void tick(long now) {
        if (queue == null) {
            return;
        }
        startReady(now);
        for (CallEntry entry : queue.callsToCancel(now)) {
            ServedCall call = calls.get(entry);
            if (call != null && call.handedOver) {
                abandon(call, Refusal.of(ResultCode.RAN_TOO_LONG, "long work stopped while short work waits"), now);
            }
        }
        for (ServedCall call : new ArrayList<>(calls.values())) {
            if (call.handedOver && !call.replied && now >= call.entry.deadline()) {
                abandon(call, Refusal.of(ResultCode.DEADLINE_PASSED_AFTER_HANDOVER, "no whole answer in time"), now);
            }
        }
        for (CallEntry entry : queue.callsToGiveUp(now)) {
            giveUp(entry, now);
        }
    }

    /** Returns the load report to send with an answer or refusal, which is empty if the call's kind is unknown. */
    private LoadReport loadReport(Optional<Kind> kind) {
        if (queue == null || kind.isEmpty()) {
            return new LoadReport(0, 0, Map.of());
        }
        Map<String, Integer> levels = new HashMap<>(downstreamLevels.apply(kind.get()));
        levels.put(serviceName, queue.level());
        return new LoadReport(queue.running(), queue.waiting(), levels);
    }

    Optional<AdmissionQueue> queue() {
        return Optional.ofNullable(queue);
    }

    /** Returns the number of calls that wait or run. */
    int openCalls() {
        return calls.size();
    }

    private Optional<Refusal> validate(CallMessage message, Optional<Kind> kind) {
        if (document.isEmpty()) {
            return Optional.of(Refusal.of(ResultCode.NOT_READY, "no configuration at the serving node"));
        }
        if (!message.service().equals(serviceName) || queue == null) {
            return Optional.of(Refusal.of(ResultCode.UNKNOWN_SERVICE, "this node serves " + serviceName));
        }
        if (kind.isEmpty()
                && message.documentNumber() != document.get().version().number()) {
            return Optional.of(Refusal.of(
                    ResultCode.NOT_READY,
                    "kind " + message.kind() + " is not in configuration "
                            + document.get().version().number() + ", the call was routed by "
                            + message.documentNumber()));
        }
        if (kind.isEmpty()) {
            return Optional.of(Refusal.of(ResultCode.UNKNOWN_KIND, "no kind " + message.kind()));
        }
        if (kind.get().ticketed() && message.ticket().isEmpty()) {
            return Optional.of(Refusal.of(ResultCode.TICKET_REQUIRED, "the call carries no ticket"));
        }
        return Optional.empty();
    }

    private CallEntry entry(CallMessage message, Kind kind, long deadline, long arrivedAt) {
        String id = callIdPrefix + nextCall++;
        return new CallEntry(
                id,
                Priority.ofValue(message.priority()),
                message.continues(),
                kind.name(),
                kind.atMostOnce(),
                deadline,
                arrivedAt);
    }

    /**
     * Returns whether the call may be queued; otherwise it was answered or refused, or waits for the outcome of an open
     * call with the same ticket.
     */
    private boolean beginTicket(ServedCall call, long now) {
        String ticket = call.message.ticket().orElseThrow();
        TicketUse use = tickets.begin(ticket, serviceName, call.kind.name(), now);
        switch (use.decision()) {
            case START:
                byTicket.put(ticket, call);
                return true;
            case JOIN:
                byTicket.get(ticket).waiters.add(call.waiters.get(0));
                return false;
            case REPLAY:
                replay(call, use.outcome().orElseThrow());
                return false;
            default:
                refuse(
                        call.waiters.get(0),
                        use.refusal().orElseThrow(),
                        call.message.share().allowance());
                return false;
        }
    }

    private void replay(ServedCall call, Outcome outcome) {
        List<Header> headers = new ArrayList<>();
        for (String line : outcome.headerLines()) {
            int colon = line.indexOf(':');
            headers.add(new Header(line.substring(0, colon), line.substring(colon + 1)));
        }
        call.waiters
                .get(0)
                .answered(new AnswerMessage(
                        ResultCode.ANSWERED_AGAIN,
                        outcome.status(),
                        headers,
                        outcome.body(),
                        call.message.share().allowance(),
                        loadReport(Optional.of(call.kind))));
    }

    private void startReady(long now) {
        for (CallEntry entry : queue.startable(now)) {
            ServedCall call = calls.get(entry);
            if (call != null) {
                start(call, now);
            }
        }
    }

    private void start(ServedCall call, long now) {
        if (now >= call.entry.deadline()) {
            queue.finished(call.entry, CallEnd.CANCELLED, now);
            refuseNotRun(
                    call, Refusal.of(ResultCode.DEADLINE_TOO_SHORT, "the deadline passed before the hand-over"), now);
            return;
        }
        CallMessage message = call.message;
        call.handedOver = true;
        call.hop = environment.tracer().begin("serving", message.service(), message.kind(), message.traceParent());
        call.ledger = AllowanceLedger.of(message.share(), call.kind.calls());
        call.context = environment
                .contexts()
                .open(new CallContexts.Context(
                        message.requestId(),
                        call.kind,
                        call.entry.priority(),
                        call.entry.deadline(),
                        call.ledger,
                        new RequestProgress(message.continues())));
        environment.recorder().started(call.entry, message, now);
        BackendServer.Handover handover = new BackendServer.Handover(
                call.entry.id(),
                message.kind(),
                message.path(),
                message.method(),
                message.headers(),
                message.body(),
                message.requestId(),
                call.context,
                call.hop.traceParent(),
                call.entry.deadline(),
                instance);
        backendServer.send(handover, new OutcomeListener(call));
    }

    private void cancel(ServedCall call) {
        long now = environment.now();
        if (call.replied || !calls.containsKey(call.entry)) {
            return;
        }
        if (!call.handedOver && queue.cancel(call.entry, now)) {
            refuseNotRun(call, Refusal.of(ResultCode.CANCELLED_BEFORE_RUN, "cancelled while it waited"), now);
            return;
        }
        // An at-most-once call is left to finish, so that a later delivery of its ticket, if any, gets the outcome.
        if (call.handedOver && !call.kind.atMostOnce()) {
            abandon(call, Refusal.of(ResultCode.CANCELLED_RUNNING, "cancelled after the hand-over"), now);
        }
    }

    private void cancelWaiter(String ticket, AnswerListener waiter) {
        environment.taskRunner().submit(() -> {
            ServedCall call = byTicket.get(ticket);
            if (call != null) {
                call.waiters.remove(waiter);
            }
        });
    }

    /** Replies at once, but keeps the slot occupied until the backend server has finished the call. */
    private void abandon(ServedCall call, Refusal refusal, long now) {
        if (!call.kind.atMostOnce()) {
            backendServer.cancel(call.entry.id());
        }
        replyRefused(call, refusal, now);
    }

    /** Closes the exchange of a call that is long overdue; its failure then frees the slot. */
    private void giveUp(CallEntry entry, long now) {
        ServedCall call = calls.get(entry);
        if (call != null) {
            call.givenUp = true;
            environment.recorder().gaveUp(entry, call.message, now);
            backendServer.cancel(entry.id());
        }
    }

    private void refusedByQueue(AdmissionQueue.Refused refused) {
        ServedCall call = calls.get(refused.entry());
        if (call != null) {
            refuseNotRun(call, refused.refusal(), environment.now());
        }
    }

    /** Refuses a call that did not run. Its ticket is voided first, so that no later delivery runs it. */
    private void refuseNotRun(ServedCall call, Refusal refusal, long now) {
        calls.remove(call.entry);
        if (call.kind.ticketed()) {
            String ticket = call.message.ticket().orElseThrow();
            byTicket.remove(ticket);
            tickets.refused(ticket, refusal, now);
        }
        closeContext(call);
        replyRefused(call, refusal, now);
    }

    private void ended(ServedCall call, CallEnd end, long now) {
        calls.remove(call.entry);
        closeContext(call);
        environment.recorder().ended(call.entry, end, now);
        queue.finished(call.entry, end, now);
        startReady(now);
    }

    private void closeContext(ServedCall call) {
        if (call.context != null) {
            environment.contexts().close(call.context);
        }
    }

    private void answered(ServedCall call, int status, List<Header> headers, byte[] body) {
        long now = environment.now();
        if (call.kind.ticketed()) {
            String ticket = call.message.ticket().orElseThrow();
            byTicket.remove(ticket);
            tickets.answered(ticket, outcome(status, headers, body), now);
        }
        ended(call, isShedAnswer(status, headers) ? CallEnd.SHED_BY_BACKEND_SERVER : CallEnd.ANSWERED, now);
        AnswerMessage answer = new AnswerMessage(
                ResultCode.ANSWERED, status, headers, body, call.ledger.close(), loadReport(Optional.of(call.kind)));
        call.takeWaiters().forEach(waiter -> waiter.answered(answer));
        call.hop.end(call.message.requestId(), ResultCode.ANSWERED);
        environment.recorder().served(call.entry, call.message, ResultCode.ANSWERED, now);
    }

    private static Outcome outcome(int status, List<Header> headers, byte[] body) {
        List<String> lines = headers.stream()
                .map(header -> header.name() + ":" + header.value())
                .toList();
        return new Outcome(ResultCode.ANSWERED, status, lines, body);
    }

    private static boolean isShedAnswer(int status, List<Header> headers) {
        return status == STATUS_TOO_MANY_REQUESTS
                || status == STATUS_SERVICE_UNAVAILABLE
                        && headers.stream().anyMatch(header -> header.name().equalsIgnoreCase(SHED_HEADER));
    }

    private void failed(ServedCall call, BackendServer.FailureStage stage, String detail) {
        long now = environment.now();
        Refusal refusal = Refusal.of(code(stage), detail);
        if (refusal.code().runState() == RunState.NOT_RUN) {
            CallEnd end = stage == BackendServer.FailureStage.NOT_RUN && mayBeOverloaded()
                    ? CallEnd.SHED_BY_BACKEND_SERVER
                    : CallEnd.FAILED;
            environment.recorder().ended(call.entry, end, now);
            queue.finished(call.entry, end, now);
            refuseNotRun(call, refusal, now);
            startReady(now);
            return;
        }
        if (call.kind.ticketed()) {
            String ticket = call.message.ticket().orElseThrow();
            byTicket.remove(ticket);
            tickets.unknown(ticket, refusal, now);
        }
        ended(call, call.replied && !call.givenUp ? CallEnd.CANCELLED : CallEnd.FAILED, now);
        replyRefused(call, refusal, now);
    }

    /**
     * Returns whether the backend server may be full. If the VM list states its slots, all its requests come from this
     * node, so the slots in use are known.
     */
    private boolean mayBeOverloaded() {
        return ownSlots.isEmpty() || queue.running() >= OVERLOAD_SLOT_FRACTION * ownSlots.getAsInt();
    }

    private static ResultCode code(BackendServer.FailureStage stage) {
        switch (stage) {
            case BEFORE_SENT:
            case OTHER_INSTANCE:
                return ResultCode.CONNECT_FAILED;
            case NOT_RUN:
                return ResultCode.OVERLOADED;
            case ANSWER_CUT:
                return ResultCode.ANSWER_CUT;
            case ANSWER_TOO_LARGE:
                return ResultCode.ANSWER_TOO_LARGE;
            case TIMED_OUT:
                return ResultCode.DEADLINE_PASSED_AFTER_HANDOVER;
            default:
                return ResultCode.OUTCOME_UNKNOWN;
        }
    }

    private void replyRefused(ServedCall call, Refusal refusal, long now) {
        call.replied = true;
        int unused = call.ledger == null ? call.message.share().allowance() : call.ledger.close();
        LoadReport load = loadReport(Optional.of(call.kind));
        call.takeWaiters().forEach(waiter -> waiter.refused(new RefusalMessage(refusal, unused, load, true)));
        if (call.hop != null) {
            call.hop.end(call.message.requestId(), refusal.code());
        }
        environment.recorder().refused(call.entry, refusal, now);
        environment.recorder().served(call.entry, call.message, refusal.code(), now);
    }

    private void refuse(AnswerListener reply, Refusal refusal, int unusedAllowance) {
        reply.refused(new RefusalMessage(refusal, unusedAllowance, loadReport(Optional.empty()), true));
    }

    /** A call from its arrival until it is refused or the backend server has finished it. */
    private static final class ServedCall {
        private final CallMessage message;
        private final Kind kind;
        private final CallEntry entry;
        private List<AnswerListener> waiters = new ArrayList<>();
        private AllowanceLedger ledger;
        private String context;
        private HopTracer.Hop hop;
        private boolean handedOver;
        private boolean replied;
        /** Whether the node has stopped waiting for the outcome, which says nothing about the time that calls take. */
        private boolean givenUp;

        ServedCall(CallMessage message, Kind kind, CallEntry entry, AnswerListener reply) {
            this.message = message;
            this.kind = kind;
            this.entry = entry;
            waiters.add(reply);
        }

        /** Returns and clears the listeners that wait for the outcome; later deliveries of the ticket register anew. */
        List<AnswerListener> takeWaiters() {
            List<AnswerListener> taken = waiters;
            waiters = new ArrayList<>();
            return taken;
        }
    }

    /** Passes the outcome of a request to the decision thread. */
    private final class OutcomeListener implements BackendServer.Listener {
        private final ServedCall call;

        OutcomeListener(ServedCall call) {
            this.call = call;
        }

        @Override
        public void answered(int status, List<Header> headers, byte[] body) {
            Optional<String> violation = AnswerRules.violation(status, headers);
            if (violation.isPresent()) {
                failed(BackendServer.FailureStage.ANSWER_CUT, violation.get());
                return;
            }
            environment.taskRunner().submit(() -> ServingSide.this.answered(call, status, headers, body));
        }

        @Override
        public void failed(BackendServer.FailureStage stage, String detail) {
            environment.taskRunner().submit(() -> ServingSide.this.failed(call, stage, detail));
        }
    }
}
