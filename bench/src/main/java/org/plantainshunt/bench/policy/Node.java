package org.plantainshunt.bench.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;

import org.plantainshunt.bench.policy.InboundCall.State;
import org.plantainshunt.configuration.DataCentre;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.result.ResultCode;

/**
 * A node with its backend server: carries calls between the two policies, the network and the server.
 *
 * <p>It decides nothing itself, so that all policies run in the same harness. Confined to one thread.
 */
final class Node implements ServingPolicy.Host {
    private static final long TICK = 10 * VirtualClock.MILLISECOND;
    private static final int REFUSAL_BYTES = 120;
    private static final int CANCEL_BYTES = 40;

    final int index;
    final Service service;
    final int dataCentre;
    final BackendServer server;
    private final Simulation simulation;
    private final String region;
    private final Deque<DatedReport> reports = new ArrayDeque<>();
    private EntryPolicy entry;
    private ServingPolicy serving;

    private record DatedReport(long time, Report report) {}

    Node(Simulation simulation, int index, Service service, int dataCentre, DataCentre place, BackendServer server) {
        this.simulation = simulation;
        this.index = index;
        this.service = service;
        this.dataCentre = dataCentre;
        this.region = place.region();
        this.server = server;
    }

    void start(EntryPolicy entryPolicy, ServingPolicy servingPolicy) {
        entry = entryPolicy;
        serving = servingPolicy;
        simulation.clock().every(TICK, this::tick);
    }

    /** Returns the node's admission level, waiting calls and running calls, for traces. */
    String state() {
        return serving.level() + "/" + serving.queued() + "/" + server.inFlight();
    }

    String name() {
        return service.name() + "-" + dataCentre;
    }

    String region() {
        return region;
    }

    /** Takes a request of a caller. */
    void enter(Request request, Consumer<Reply> done) {
        long deadline = now() + request.work.kind().deadline().toNanos();
        call(new OutboundCall(request, request.work, deadline, Optional.empty(), done));
    }

    private void call(OutboundCall call) {
        EntryPolicy.Route route = entry.first(call, now());
        if (route.refusal().isPresent()) {
            end(call, route.refusal().get());
            return;
        }
        send(call, route.server().orElseThrow());
    }

    private void send(OutboundCall call, Node target) {
        InboundCall inbound = new InboundCall(call, this, target, call.attemptShare());
        call.startAttempt(inbound);
        long remaining = simulation.policies().carriesDeadlines()
                ? call.deadline - now()
                : call.work.kind().deadline().toNanos();
        simulation.clock().after(remaining, () -> attemptTimedOut(call, inbound, target));
        transmit(target, call.work.requestBytes(), () -> target.arrive(inbound, remaining));
    }

    private void transmit(Node target, int bytes, Runnable arrival) {
        simulation.network().send(this, target, bytes, arrival);
    }

    private void attemptTimedOut(OutboundCall call, InboundCall inbound, Node target) {
        if (!call.isRunning(inbound)) {
            return;
        }
        if (simulation.policies().carriesDeadlines()) {
            transmit(target, CANCEL_BYTES, () -> target.cancel(inbound));
        }
        attemptEnded(call, target, Reply.refused(ResultCode.DEADLINE_PASSED_AFTER_HANDOVER, 0));
    }

    private void replied(OutboundCall call, InboundCall inbound, Node target, Reply reply) {
        if (call.isRunning(inbound)) {
            attemptEnded(call, target, reply);
        }
    }

    private void attemptEnded(OutboundCall call, Node target, Reply reply) {
        entry.ended(call, target, reply, now());
        Optional<Node> next = reply.good() ? Optional.empty() : entry.next(call, reply, now());
        if (next.isPresent()) {
            call.request.countRetry();
            send(call, next.get());
        } else {
            end(call, reply);
        }
    }

    private void end(OutboundCall call, Reply reply) {
        entry.closed(call);
        call.end(reply);
    }

    private void arrive(InboundCall inbound, long remaining) {
        if (inbound.state() == State.OVER) {
            return;
        }
        inbound.setDeadline(now() + remaining);
        serving.arrived(inbound, now());
    }

    @Override
    public void handOver(InboundCall inbound) {
        inbound.setState(State.RUNNING);
        server.run(inbound, () -> proceed(inbound));
    }

    /** Makes the next call for an inbound call, or answers it. */
    private void proceed(InboundCall inbound) {
        Optional<Work> child = inbound.nextChild();
        if (child.isEmpty()) {
            finish(inbound, true);
            return;
        }
        OutboundCall next = new OutboundCall(
                inbound.call.request,
                child.get(),
                inbound.deadline(),
                Optional.of(inbound),
                reply -> childEnded(inbound, reply));
        inbound.setChild(next);
        call(next);
    }

    private void childEnded(InboundCall inbound, Reply reply) {
        if (inbound.state() == State.OVER) {
            return;
        }
        if (reply.good()) {
            proceed(inbound);
        } else {
            simulation.measurements().innerFailed(inbound.call.request, reply.code(), now());
            finish(inbound, false);
        }
    }

    /** Ends a call with the backend server's answer, which is an error if a call that it made has failed. */
    private void finish(InboundCall inbound, boolean good) {
        leaveServer(inbound);
        serving.finished(inbound, true, now());
        int bytes = good ? inbound.call.work.answerBytes() : REFUSAL_BYTES;
        reply(inbound, new Reply(ResultCode.ANSWERED, good, 0, entry.closeAllowance(inbound), report()), bytes);
    }

    @Override
    public void refuse(InboundCall inbound, ResultCode code, long retryAfterMilliseconds) {
        if (inbound.state() == State.OVER) {
            return;
        }
        inbound.setState(State.OVER);
        Reply refusal = new Reply(code, false, retryAfterMilliseconds, entry.closeAllowance(inbound), report());
        reply(inbound, refusal, REFUSAL_BYTES);
    }

    @Override
    public void abort(InboundCall inbound, ResultCode code) {
        leaveServer(inbound);
        inbound.child().ifPresent(this::giveUp);
        serving.finished(inbound, false, now());
        reply(inbound, new Reply(code, false, 0, entry.closeAllowance(inbound), report()), REFUSAL_BYTES);
    }

    /** Takes the cancellation of a call whose entry node has given it up. */
    private void cancel(InboundCall inbound) {
        if (inbound.state() == State.WAITING) {
            inbound.setState(State.OVER);
            serving.cancel(inbound, now());
            entry.closeAllowance(inbound);
        } else if (inbound.state() == State.RUNNING && !inbound.call.work.kind().atMostOnce()) {
            abort(inbound, ResultCode.CANCELLED_RUNNING);
        }
    }

    private void giveUp(OutboundCall child) {
        if (child.over()) {
            return;
        }
        InboundCall inbound = child.running().orElseThrow();
        Node target = inbound.target;
        transmit(target, CANCEL_BYTES, () -> target.cancel(inbound));
        Reply reply = Reply.refused(ResultCode.CANCELLED_RUNNING, 0);
        entry.ended(child, target, reply, now());
        end(child, reply);
    }

    private void leaveServer(InboundCall inbound) {
        inbound.setState(State.OVER);
        if (inbound.onSlot()) {
            server.release();
        }
    }

    private void reply(InboundCall inbound, Reply reply, int bytes) {
        Node entryNode = inbound.entryNode;
        transmit(entryNode, bytes, () -> entryNode.replied(inbound.call, inbound, this, reply));
    }

    private void tick() {
        serving.tick(now());
        if (simulation.conditions().reportDelayNanos() > 0) {
            reports.add(new DatedReport(now(), currentReport()));
            while (reports.size() > 1
                    && reports.peek().time() < now() - simulation.conditions().reportDelayNanos()) {
                reports.poll();
            }
        }
    }

    private Optional<Report> report() {
        return Optional.of(reports.isEmpty() ? currentReport() : reports.peek().report());
    }

    private Report currentReport() {
        return new Report(serving.level(), server.inFlight(), serving.queued(), entry.levels(now()));
    }

    private long now() {
        return simulation.clock().now();
    }
}
