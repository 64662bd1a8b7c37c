package org.plantainshunt.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.plantainshunt.admission.FailureShedding;
import org.plantainshunt.configuration.DataCentre;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.configuration.VmList;
import org.plantainshunt.execution.TicketTable;
import org.plantainshunt.membership.Membership;
import org.plantainshunt.protocol.InnerConnection;
import org.plantainshunt.routing.BackendServerChoice;

/** A VM of the fake fleet, with a node that can be killed, frozen and restarted, and its backend server. */
final class FakeVm {
    private static final long TICK = 5 * FakeFleet.MILLISECOND;

    final FakeFleet fleet;
    final Vm listed;
    final String name;
    final String service;
    final FakeBackendServer backendServer;
    final List<FakeConnection> connections = new ArrayList<>();
    long incarnation;
    long frozenUntil;
    EntrySide entry;
    ServingSide serving;
    private Membership membership;
    private Connections pool;

    FakeVm(FakeFleet fleet, Vm listed, Function<FakeVm, FakeBackendServer> backendServers) {
        this.fleet = fleet;
        this.listed = listed;
        this.name = listed.name();
        this.service = listed.service();
        this.backendServer = backendServers.apply(this);
    }

    /** Starts a new process, which keeps no state of the previous one. */
    void start() {
        startWithoutVmList();
        membership.vmList(fleet.vmList(), fleet.now());
        serving.updateOwnVm(Optional.of(listed));
    }

    /** Starts a new process that has a configuration but no VM list. */
    void startWithoutVmList() {
        incarnation = fleet.random.nextLong(1, Long.MAX_VALUE);
        long ownIncarnation = incarnation;
        fleet.log(name + " starts as " + ownIncarnation);
        CallContexts contexts = new CallContexts(fleet.random());
        Environment environment = new Environment(
                task -> run(ownIncarnation, task), fleet::now, new SilentRecorder(), HopTracer.off(), contexts);
        membership = new Membership(listed.dataCentre(), this::region, any -> 4);
        TicketTable tickets = new TicketTable(name, incarnation, 1000, fleet.document.policy(), fleet.random());
        pool = new Connections(
                this::connect,
                task -> run(ownIncarnation, task),
                fleet::now,
                fleet.random(),
                vm -> membership.connectFailed(vm.name(), fleet.now()));
        serving = new ServingSide(
                new CallCoordinator.Identity(name, service, listed.dataCentre(), incarnation),
                backendServer,
                environment,
                tickets,
                kind -> entry.downstreamLevels(kind));
        entry = new EntrySide(
                name,
                serving,
                environment,
                membership,
                pool,
                new BackendServerChoice(fleet.random()),
                new LinkBudgets(listed.dataCentre()),
                new FailureShedding(fleet.random()));
        serving.configure(fleet.document);
        entry.configure(fleet.document);
        tick(ownIncarnation);
    }

    /** Applies a VM list. */
    void applyVmList(VmList list) {
        membership.vmList(list, fleet.now());
        pool.retain(list.vms());
    }

    /** Ends the process at once; its state is lost and its connections are cut. */
    void kill() {
        fleet.log(name + " is killed");
        incarnation = 0;
        new ArrayList<>(connections).forEach(FakeConnection::cut);
        connections.clear();
        backendServer.nodeLost();
    }

    void freeze(long duration) {
        fleet.log(name + " freezes for " + duration / FakeFleet.MILLISECOND + " ms");
        frozenUntil = fleet.now() + duration;
    }

    /** Runs a task of the process with this incarnation: later if it is frozen, never if it is gone. */
    void run(long ofIncarnation, Runnable task) {
        if (ofIncarnation != incarnation) {
            return;
        }
        if (fleet.now() < frozenUntil) {
            fleet.schedule(frozenUntil - fleet.now(), () -> run(ofIncarnation, task));
            return;
        }
        task.run();
    }

    /** Sends a request of a caller; the listener is never called if the process is gone. */
    void call(String kind, String work, Optional<String> ticket, int attempt, ReplyListener reply) {
        InboundCall inbound = new InboundCall(
                "front",
                kind,
                "",
                "POST",
                List.of(),
                work.getBytes(java.nio.charset.StandardCharsets.UTF_8),
                work,
                ticket,
                OptionalLong.empty(),
                attempt,
                Optional.empty(),
                "",
                false,
                fleet.now());
        run(incarnation, () -> entry.call(inbound, reply));
    }

    private Optional<String> region(String dataCentre) {
        return fleet.document.dataCentre(dataCentre).map(DataCentre::region);
    }

    private void tick(long ownIncarnation) {
        run(ownIncarnation, () -> {
            serving.tick(fleet.now());
            entry.tick(fleet.now());
            fleet.schedule(TICK, () -> tick(ownIncarnation));
        });
    }

    private CompletableFuture<InnerConnection> connect(String address, int port) {
        CompletableFuture<InnerConnection> result = new CompletableFuture<>();
        FakeVm target = fleet.byPort(port);
        long ownIncarnation = incarnation;
        fleet.schedule(
                fleet.randomDelay(2),
                () -> run(ownIncarnation, () -> {
                    if (target.incarnation == 0) {
                        result.completeExceptionally(new java.net.ConnectException("refused"));
                        return;
                    }
                    FakeConnection connection = new FakeConnection(this, target);
                    connections.add(connection);
                    target.connections.add(connection);
                    membership.connected(target.name, target.incarnation, false, fleet.now());
                    result.complete(connection);
                }));
        return result;
    }
}
