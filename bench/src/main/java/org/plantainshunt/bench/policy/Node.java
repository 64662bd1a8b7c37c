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
 * A simulated node with its backend server, which passes calls between the two policies, the network and the server.
 *
 * <p>All decisions are left to the policies, so that all of them run in the same harness. Confined to one thread.
 */
final class Node implements ServingPolicy.Host {
    private static final long TICK_INTERVAL = 10 * VirtualClock.MILLISECOND;
    private static final int REFUSAL_BYTES = 120;
    private static final int CANCEL_BYTES = 40;

    final int index;
    final Service service;
    /** The index of the data centre in {@link Deployment#dataCentres()}. */
    final int dataCentre;

    final BackendServer server;
    private final Simulation simulation;
    private final String region;
    private final Deque<TimestampedReport> reports = new ArrayDeque<>();
    private EntryPolicy entry;
    private ServingPolicy serving;

    private record TimestampedReport(long time, NodeReport report) {}

    Node(
            Simulation simulation,
            int index,
            Service service,
            int dataCentre,
            DataCentre dataCentreDefinition,
            BackendServer server) {
        this.simulation = simulation;
        this.index = index;
        this.service = service;
        this.dataCentre = dataCentre;
        this.region = dataCentreDefinition.region();
        this.server = server;
    }

    void start(EntryPolicy entryPolicy, ServingPolicy servingPolicy) {
        entry = entryPolicy;
        serving = servingPolicy;
        simulation.clock().scheduleEvery(TICK_INTERVAL, this::tick);
    }

    /** Returns the admission level and the numbers of waiting calls and of calls at the server, joined by slashes. */
    String state() {
        return serving.level() + "/" + serving.queued() + "/" + server.inFlight();
    }

    String name() {
        return service.name() + "-" + dataCentre;
    }

    String region() {
        return region;
    }

    /** Receives a request from a caller. */
    void receiveRequest(Request request, Consumer<Reply> done) {
        long deadline = now() + request.kindProfile.kind().deadline().toNanos();
        startCall(new OutboundCall(request, request.kindProfile, deadline, Optional.empty(), done));
    }

    private void startCall(OutboundCall call) {
        EntryPolicy.Route route = entry.routeFirstAttempt(call, now());
        if (route.refusal().isPresent()) {
            end(call, route.refusal().get());
            return;
        }
        send(call, route.server().orElseThrow());
    }

    private void send(OutboundCall call, Node target) {
        InboundCall inbound = new InboundCall(call, this, target, call.attemptShare());
        call.startAttempt(inbound);
        long remaining = simulation.policies().propagatesDeadlines()
                ? call.deadline - now()
                : call.kindProfile.kind().deadline().toNanos();
        simulation.clock().schedule(remaining, () -> attemptTimedOut(call, inbound, target));
        transmit(target, call.kindProfile.requestBytes(), () -> target.receiveAttempt(inbound, remaining));
    }

    private void transmit(Node target, int bytes, Runnable arrival) {
        simulation.network().send(this, target, bytes, arrival);
    }

    private void attemptTimedOut(OutboundCall call, InboundCall inbound, Node target) {
        if (!call.isRunning(inbound)) {
            return;
        }
        if (simulation.policies().propagatesDeadlines()) {
            transmit(target, CANCEL_BYTES, () -> target.cancel(inbound));
        }
        attemptEnded(call, target, Reply.failure(ResultCode.DEADLINE_PASSED_AFTER_HANDOVER, 0));
    }

    private void replied(OutboundCall call, InboundCall inbound, Node target, Reply reply) {
        if (call.isRunning(inbound)) {
            attemptEnded(call, target, reply);
        }
    }

    private void attemptEnded(OutboundCall call, Node target, Reply reply) {
        entry.attemptEnded(call, target, reply, now());
        Optional<Node> next = reply.successful() ? Optional.empty() : entry.chooseRetryServer(call, reply, now());
        if (next.isPresent()) {
            call.request.countRetry();
            send(call, next.get());
        } else {
            end(call, reply);
        }
    }

    private void end(OutboundCall call, Reply reply) {
        entry.callEnded(call);
        call.end(reply);
    }

    private void receiveAttempt(InboundCall inbound, long remaining) {
        if (inbound.state() == State.ENDED) {
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

    /** Makes the next downstream call of an inbound call, or answers it if there is none left. */
    private void proceed(InboundCall inbound) {
        Optional<KindProfile> child = inbound.nextChild();
        if (child.isEmpty()) {
            finish(inbound, true);
            return;
        }
        OutboundCall next = new OutboundCall(
                inbound.outboundCall.request,
                child.get(),
                inbound.deadline(),
                Optional.of(inbound),
                reply -> childEnded(inbound, reply));
        inbound.setChild(next);
        startCall(next);
    }

    private void childEnded(InboundCall inbound, Reply reply) {
        if (inbound.state() == State.ENDED) {
            return;
        }
        if (reply.successful()) {
            proceed(inbound);
        } else {
            simulation.measurements().downstreamCallFailed(inbound.outboundCall.request, reply.code(), now());
            finish(inbound, false);
        }
    }

    /** Ends a call with the backend server's answer, which is an error if a downstream call has failed. */
    private void finish(InboundCall inbound, boolean successful) {
        endServing(inbound);
        serving.finished(inbound, true, now());
        int bytes = successful ? inbound.outboundCall.kindProfile.answerBytes() : REFUSAL_BYTES;
        reply(inbound, new Reply(ResultCode.ANSWERED, successful, 0, entry.closeAllowance(inbound), report()), bytes);
    }

    @Override
    public void refuse(InboundCall inbound, ResultCode code, long retryAfterMilliseconds) {
        if (inbound.state() == State.ENDED) {
            return;
        }
        inbound.setState(State.ENDED);
        Reply refusal = new Reply(code, false, retryAfterMilliseconds, entry.closeAllowance(inbound), report());
        reply(inbound, refusal, REFUSAL_BYTES);
    }

    @Override
    public void abort(InboundCall inbound, ResultCode code) {
        endServing(inbound);
        inbound.child().ifPresent(this::cancelChild);
        serving.finished(inbound, false, now());
        reply(inbound, new Reply(code, false, 0, entry.closeAllowance(inbound), report()), REFUSAL_BYTES);
    }

    /** Receives the cancellation of a call from its entry node. */
    private void cancel(InboundCall inbound) {
        if (inbound.state() == State.WAITING) {
            inbound.setState(State.ENDED);
            serving.cancel(inbound, now());
            entry.closeAllowance(inbound);
        } else if (inbound.state() == State.RUNNING
                && !inbound.outboundCall.kindProfile.kind().atMostOnce()) {
            abort(inbound, ResultCode.CANCELLED_RUNNING);
        }
    }

    private void cancelChild(OutboundCall child) {
        if (child.ended()) {
            return;
        }
        InboundCall inbound = child.currentAttempt().orElseThrow();
        Node target = inbound.servingNode;
        transmit(target, CANCEL_BYTES, () -> target.cancel(inbound));
        Reply reply = Reply.failure(ResultCode.CANCELLED_RUNNING, 0);
        entry.attemptEnded(child, target, reply, now());
        end(child, reply);
    }

    private void endServing(InboundCall inbound) {
        inbound.setState(State.ENDED);
        if (inbound.holdsSlot()) {
            server.release();
        }
    }

    private void reply(InboundCall inbound, Reply reply, int bytes) {
        Node entryNode = inbound.entryNode;
        transmit(entryNode, bytes, () -> entryNode.replied(inbound.outboundCall, inbound, this, reply));
    }

    private void tick() {
        serving.tick(now());
        if (simulation.conditions().reportDelayNanos() > 0) {
            reports.add(new TimestampedReport(now(), currentReport()));
            while (reports.size() > 1
                    && reports.peek().time() < now() - simulation.conditions().reportDelayNanos()) {
                reports.poll();
            }
        }
    }

    private Optional<NodeReport> report() {
        return Optional.of(reports.isEmpty() ? currentReport() : reports.peek().report());
    }

    private NodeReport currentReport() {
        return new NodeReport(serving.level(), server.inFlight(), serving.queued(), entry.levels(now()));
    }

    private long now() {
        return simulation.clock().now();
    }
}
