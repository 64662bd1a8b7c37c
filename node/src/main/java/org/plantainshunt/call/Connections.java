package org.plantainshunt.call;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import org.plantainshunt.configuration.Vm;
import org.plantainshunt.duty.TaskRunner;
import org.plantainshunt.protocol.InnerConnection;
import org.plantainshunt.routing.ConnectionPacing;

/**
 * The connections from this node to other nodes, one for each VM, opened on first use.
 *
 * <p>New connections are opened at a limited rate, since each costs both ends about 1 ms of work, and after a restart
 * or a healed partition many are needed at once. After a failed attempt, calls to the VM fail immediately until an
 * exponential backoff has passed. Confined to the decision thread.
 */
final class Connections {
    private static final long INITIAL_BACKOFF = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long MAX_BACKOFF = TimeUnit.SECONDS.toNanos(3);
    /** How long the connection to an unlisted VM stays open; no call lasts longer than this. */
    private static final long UNLISTED_RETENTION = TimeUnit.SECONDS.toNanos(30);

    private final Opener opener;
    private final TaskRunner taskRunner;
    private final LongSupplier clock;
    private final RandomGenerator random;
    private final Consumer<Vm> onFailure;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Deque<Peer> pendingOpens = new ArrayDeque<>();
    private final ConnectionPacing pacing = new ConnectionPacing();

    Connections(
            Opener opener, TaskRunner taskRunner, LongSupplier clock, RandomGenerator random, Consumer<Vm> onFailure) {
        this.opener = opener;
        this.taskRunner = taskRunner;
        this.clock = clock;
        this.random = random;
        this.onFailure = onFailure;
    }

    /** Calls {@code ready} with an open connection, or {@code failed} with the reason, at once or later. */
    void withConnection(Vm vm, Consumer<InnerConnection> ready, Consumer<String> failed) {
        Peer peer = peers.computeIfAbsent(vm.name(), name -> new Peer());
        peer.updateAddress(vm);
        if (peer.connection != null && peer.connection.isOpen()) {
            ready.accept(peer.connection);
            return;
        }
        long now = clock.getAsLong();
        if (!peer.opening && now < peer.nextAttemptAt) {
            failed.accept("the last connection to " + vm.name() + " failed less than a pause ago");
            return;
        }
        peer.waiters.add(new Waiter(ready, failed));
        if (!peer.opening) {
            peer.opening = true;
            pendingOpens.add(peer);
            openPending(now);
        }
    }

    /** Ends the backoff after a failure, since a VM that connects to this node is reachable again. */
    void resetBackoff(String vm) {
        Peer peer = peers.get(vm);
        if (peer != null) {
            peer.nextAttemptAt = Long.MIN_VALUE;
            peer.backoff = INITIAL_BACKOFF;
        }
    }

    /** Returns whether there is an open connection to the VM. */
    boolean isOpen(String vm) {
        Peer peer = peers.get(vm);
        return peer != null && peer.connection != null && peer.connection.isOpen();
    }

    /** Opens connections that were delayed by the rate limit, and removes VMs that have long been unlisted. */
    void tick(long now) {
        openPending(now);
        peers.values().removeIf(peer -> peer.closeIfExpired(now));
    }

    /** Marks VMs that are not in the list; their connections stay open for a while so that running calls can end. */
    void retain(List<Vm> listed) {
        long now = clock.getAsLong();
        Set<String> names = new HashSet<>();
        listed.forEach(vm -> names.add(vm.name()));
        peers.forEach((name, peer) -> peer.setListed(names.contains(name), now));
    }

    private void openPending(long now) {
        while (!pendingOpens.isEmpty() && pacing.tryOpen(now)) {
            open(pendingOpens.poll());
        }
    }

    private void open(Peer peer) {
        Vm vm = peer.vm;
        opener.connect(vm.address(), vm.innerPort())
                .whenComplete((connection, error) -> taskRunner.submit(() -> {
                    if (error == null && connection.peerVm().equals(vm.name())) {
                        opened(peer, connection);
                        return;
                    }
                    if (error == null) {
                        connection.close();
                    }
                    String detail =
                            error == null ? "another node answers there: " + connection.peerVm() : message(error);
                    failed(peer, "no connection to " + vm.name() + ": " + detail);
                }));
    }

    private static String message(Throwable error) {
        Throwable cause = error.getCause() == null ? error : error.getCause();
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }

    private void opened(Peer peer, InnerConnection connection) {
        peer.opening = false;
        peer.backoff = INITIAL_BACKOFF;
        peer.connection = connection;
        for (Waiter waiter : peer.takeWaiters()) {
            waiter.ready().accept(connection);
        }
    }

    private void failed(Peer peer, String detail) {
        peer.opening = false;
        // Half of the backoff is random, so that nodes that lost the same server do not reconnect simultaneously.
        peer.nextAttemptAt = clock.getAsLong() + peer.backoff / 2 + random.nextLong(peer.backoff / 2 + 1);
        peer.backoff = Math.min(MAX_BACKOFF, peer.backoff * 2);
        onFailure.accept(peer.vm);
        for (Waiter waiter : peer.takeWaiters()) {
            waiter.failed().accept(detail);
        }
    }

    /** Opens a connection without blocking. */
    @FunctionalInterface
    interface Opener {
        CompletableFuture<InnerConnection> connect(String address, int port);
    }

    private record Waiter(Consumer<InnerConnection> ready, Consumer<String> failed) {}

    /** The connection to one VM and the calls that wait for it. */
    private static final class Peer {
        private Vm vm;
        private InnerConnection connection;
        private boolean opening;
        private long nextAttemptAt = Long.MIN_VALUE;
        private long backoff = INITIAL_BACKOFF;
        private OptionalLong unlistedAt = OptionalLong.empty();
        private List<Waiter> waiters = new ArrayList<>();

        /** Sets the VM's current address and closes the connection to a previous one. */
        void updateAddress(Vm current) {
            if (vm != null && (!vm.address().equals(current.address()) || vm.innerPort() != current.innerPort())) {
                close();
                nextAttemptAt = Long.MIN_VALUE;
            }
            vm = current;
        }

        void setListed(boolean listed, long now) {
            if (listed) {
                unlistedAt = OptionalLong.empty();
            } else if (unlistedAt.isEmpty()) {
                unlistedAt = OptionalLong.of(now);
            }
        }

        /** Closes the connection and returns true if the VM has been unlisted for {@code UNLISTED_RETENTION}. */
        boolean closeIfExpired(long now) {
            if (opening || unlistedAt.isEmpty() || now - unlistedAt.getAsLong() < UNLISTED_RETENTION) {
                return false;
            }
            close();
            return true;
        }

        List<Waiter> takeWaiters() {
            List<Waiter> taken = waiters;
            waiters = new ArrayList<>();
            return taken;
        }

        void close() {
            if (connection != null) {
                connection.close();
                connection = null;
            }
        }
    }
}
