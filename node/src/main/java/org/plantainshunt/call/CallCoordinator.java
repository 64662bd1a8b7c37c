package org.plantainshunt.call;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import org.plantainshunt.admission.AdmissionQueue;
import org.plantainshunt.admission.FailureShedding;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.configuration.VmList;
import org.plantainshunt.duty.Worker;
import org.plantainshunt.execution.TicketTable;
import org.plantainshunt.membership.Membership;
import org.plantainshunt.protocol.AnswerListener;
import org.plantainshunt.protocol.CallHandler;
import org.plantainshunt.protocol.CallMessage;
import org.plantainshunt.protocol.CancelHandle;
import org.plantainshunt.protocol.HandshakeInfo;
import org.plantainshunt.protocol.InnerConnection;
import org.plantainshunt.protocol.LoadReport;
import org.plantainshunt.protocol.RefusalMessage;
import org.plantainshunt.protocol.TicketListener;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.routing.BackendServerChoice;

/**
 * Runs the entry side and the serving side of a node on the decision thread, which owns the state of both.
 *
 * <p>The two sides share a thread because a backend server's own calls use the retry allowance of the request that it
 * serves, and because a call that stays on the VM then needs no switch between threads. Safe for use by any thread.
 */
public final class CallCoordinator implements CallHandler, AutoCloseable {
    private static final int QUEUE_CAPACITY = 16 * 1024;
    private static final int MAX_TICKETS = 50_000;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(10);

    private final Worker worker;
    private final LongSupplier clock;
    private final Membership membership;
    private final Connections connections;
    private final ServingSide serving;
    private final EntrySide entry;
    private final LinkBudgets links;
    private final TicketTable tickets;
    private final Identity identity;
    private final CallRecorder recorder;
    private Optional<Document> document = Optional.empty();
    private VmList vmList;
    private boolean leaving;
    private boolean listedAsLeaving;
    private volatile Snapshot snapshot = Snapshot.EMPTY;

    /** Starts a worker that runs both sides. */
    public CallCoordinator(
            Identity identity,
            BackendServer backendServer,
            Connector connector,
            LongSupplier clock,
            RandomGenerator random,
            CallRecorder recorder,
            HopTracer tracer,
            Worker.Factory workers) {
        this.identity = identity;
        this.clock = clock;
        this.recorder = recorder;
        // Tokens need a secure random source; routing choices don't, and a secure source is far slower.
        RandomGenerator routingRandom = new SplittableRandom(random.nextLong());
        worker = workers.start("decisions", QUEUE_CAPACITY, TICK_INTERVAL, this::tick);
        Environment environment = new Environment(worker, clock, recorder, tracer, new CallContexts(random));
        links = new LinkBudgets(identity.dataCentre());
        membership = new Membership(identity.dataCentre(), links::region, this::slots);
        connections = new Connections(
                connector::connect,
                worker,
                clock,
                routingRandom,
                vm -> membership.connectFailed(vm.name(), clock.getAsLong()));
        tickets = new TicketTable(identity.vm(), identity.incarnation(), MAX_TICKETS, NoPolicy.POLICY, random);
        serving = new ServingSide(identity, backendServer, environment, tickets, this::downstreamLevels);
        entry = new EntrySide(
                identity.vm(),
                serving,
                environment,
                membership,
                connections,
                new BackendServerChoice(routingRandom),
                links,
                new FailureShedding(routingRandom));
    }

    /** Applies a configuration. */
    public void configure(Document accepted) {
        worker.submit(() -> {
            document = Optional.of(accepted);
            tickets.configure(accepted.policy());
            serving.configure(accepted);
            entry.configure(accepted);
            membership.configurationChanged(clock.getAsLong());
            updateLinkShares();
        });
    }

    /** Applies a VM list. */
    public void vmList(VmList list) {
        worker.submit(() -> {
            vmList = list;
            membership.vmList(list, clock.getAsLong());
            updateOwnVm(list);
            connections.retain(list.vms());
            updateLinkShares();
        });
    }

    /**
     * Applies the VM list's entry for this VM. An entry with an instance id describes the backend server itself, so
     * while it is marked as leaving, this node refuses new calls to that backend server; entry nodes with an older list
     * may still send some. An entry of another service is not this node's backend server.
     */
    private void updateOwnVm(VmList list) {
        Optional<Vm> own = list.vms().stream()
                .filter(vm -> vm.name().equals(identity.vm()) && vm.service().equals(identity.service()))
                .findFirst();
        serving.updateOwnVm(own);
        own.ifPresent(vm -> {
            listedAsLeaving = vm.leaving() && vm.instance().isPresent();
            updateDraining();
        });
    }

    private void updateDraining() {
        if (leaving || listedAsLeaving) {
            serving.drain();
        } else {
            serving.resume();
        }
    }

    /** Accepts a call from a caller, or returns false if the node is busy. */
    public boolean call(InboundCall inbound, ReplyListener reply, Consumer<CancelHandle> cancellation) {
        return worker.offer(() -> cancellation.accept(entry.call(inbound, reply)));
    }

    @Override
    public CancelHandle call(String fromVm, CallMessage message, AnswerListener reply) {
        long arrivedAt = clock.getAsLong();
        PendingCancel cancel = new PendingCancel();
        boolean accepted = worker.offer(() -> cancel.resolve(serving.call(fromVm, message, arrivedAt, reply)));
        if (!accepted) {
            Refusal refusal = Refusal.of(ResultCode.NODE_BUSY, "the ring of decisions is full");
            LoadReport none = new LoadReport(0, 0, Map.of());
            reply.refused(new RefusalMessage(refusal, message.share().allowance(), none, true));
        }
        return cancel;
    }

    @Override
    public void ticket(String fromVm, String service, String kind, TicketListener reply) {
        if (!worker.offer(() -> serving.ticket(kind, reply))) {
            reply.refused(Refusal.of(ResultCode.NODE_BUSY, "the ring of decisions is full"));
        }
    }

    /** Handles a completed handshake with a peer. */
    public void handshakeCompleted(HandshakeInfo handshakeInfo) {
        worker.submit(() -> {
            connections.resetBackoff(handshakeInfo.vm());
            membership.connected(
                    handshakeInfo.vm(), handshakeInfo.incarnation(), handshakeInfo.draining(), clock.getAsLong());
        });
    }

    /** Handles a peer's notice that it is draining. */
    public void draining(String vm, long incarnation) {
        worker.submit(() -> membership.draining(vm, incarnation, clock.getAsLong()));
    }

    /** Handles the loss of a connection; it is ignored if another connection to the VM is open. */
    public void disconnected(String vm) {
        worker.submit(() -> {
            if (!connections.isOpen(vm)) {
                membership.disconnected(vm, clock.getAsLong());
            }
        });
    }

    /** Runs an action with a connection to another node; drops it if that node is unreachable or this one is busy. */
    public void withConnection(Vm vm, Consumer<InnerConnection> action) {
        worker.offer(() -> connections.withConnection(vm, action, failure -> {}));
    }

    /** Starts or stops refusing new calls to this node's backend server. */
    public void drain(boolean nowLeaving) {
        worker.submit(() -> {
            leaving = nowLeaving;
            updateDraining();
        });
    }

    /**
     * Ends the calls of this node's callers before the process stops.
     *
     * @param endAt the time at which all calls must end, in nanoseconds of the node's monotonic clock
     */
    public void stop(long endAt) {
        worker.submit(() -> entry.stop(endAt));
    }

    /** Returns the last snapshot of the node's state, at most a second old. */
    public Snapshot snapshot() {
        return snapshot;
    }

    /** Lists the backend servers that this node knows; the listener is called on the decision thread. */
    public void upstreams(Consumer<List<Snapshot.UpstreamState>> listener) {
        worker.submit(() -> listener.accept(Snapshot.upstreams(membership, document, clock.getAsLong())));
    }

    /** Returns the {@linkplain Worker#queueUtilization queue utilization} of the decision thread. */
    public double queueUtilization() {
        return worker.queueUtilization();
    }

    @Override
    public void close() {
        worker.close();
    }

    private void tick() {
        // The worker starts before the constructor has set all fields.
        if (entry == null) {
            return;
        }
        long now = clock.getAsLong();
        serving.tick(now);
        entry.tick(now);
        connections.tick(now);
        if (now - snapshot.takenAt() >= Snapshot.INTERVAL) {
            snapshot = takeSnapshot(now);
            if (snapshot.isOverloaded()) {
                recorder.overloaded(snapshot);
            }
        }
    }

    private Snapshot takeSnapshot(long now) {
        Optional<AdmissionQueue> queue = serving.queue();
        return new Snapshot(
                now,
                serving.draining(),
                queue.map(AdmissionQueue::running).orElse(0),
                queue.map(AdmissionQueue::waiting).orElse(0),
                queue.map(AdmissionQueue::limit).orElse(0),
                queue.map(AdmissionQueue::level).orElse(0),
                serving.openCalls(),
                entry.openCalls(),
                tickets.size());
    }

    private Map<String, Integer> downstreamLevels(Kind kind) {
        return entry.downstreamLevels(kind);
    }

    private int slots(String service) {
        return document.flatMap(known -> known.service(service))
                .map(Service::slots)
                .orElse(1);
    }

    private void updateLinkShares() {
        if (vmList == null || document.isEmpty()) {
            return;
        }
        Optional<String> own = links.region(identity.dataCentre());
        long nodes = vmList.vms().stream()
                .filter(vm -> own.isPresent() && links.region(vm.dataCentre()).equals(own))
                .count();
        links.setNodesInRegion((int) nodes);
    }

    /** Opens connections to other nodes without blocking. */
    @FunctionalInterface
    public interface Connector {
        /** Returns a future that completes with a connection, or exceptionally with the reason. */
        CompletableFuture<InnerConnection> connect(String address, int port);
    }

    /**
     * The identity of this node.
     *
     * @param vm the name of the VM
     * @param service the service of its backend server
     * @param dataCentre the data centre of the VM
     * @param incarnation a number unique to this process
     */
    public record Identity(String vm, String service, String dataCentre, long incarnation) {}
}
