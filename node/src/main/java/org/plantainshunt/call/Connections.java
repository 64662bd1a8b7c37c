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
 * <p>New connections are opened at a bounded rate, since each costs the accepting side about 1 ms and a recovering
 * server would otherwise receive those of the whole fleet at once. Failed attempts are repeated with exponential
 * backoff. Confined to the decision thread.
 */
final class Connections {
    private static final long FIRST_PAUSE = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long LONGEST_PAUSE = TimeUnit.SECONDS.toNanos(3);
    /** How long the connection to an unlisted VM stays open; no call lasts longer than this. */
    private static final long UNLISTED_KEPT = TimeUnit.SECONDS.toNanos(30);

    private final Opener opener;
    private final TaskRunner duty;
    private final LongSupplier clock;
    private final RandomGenerator random;
    private final Consumer<Vm> onFailure;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Deque<Peer> waiting = new ArrayDeque<>();
    private final ConnectionPacing pacing = new ConnectionPacing();

    Connections(Opener opener, TaskRunner duty, LongSupplier clock, RandomGenerator random, Consumer<Vm> onFailure) {
        this.opener = opener;
        this.duty = duty;
        this.clock = clock;
        this.random = random;
        this.onFailure = onFailure;
    }

    /** Calls {@code ready} with an open connection, or {@code failed} with the reason, at once or later. */
    void use(Vm vm, Consumer<InnerConnection> ready, Consumer<String> failed) {
        Peer peer = peers.computeIfAbsent(vm.name(), name -> new Peer());
        peer.move(vm);
        if (peer.connection != null && peer.connection.isOpen()) {
            ready.accept(peer.connection);
            return;
        }
        long now = clock.getAsLong();
        if (!peer.opening && now < peer.notBefore) {
            failed.accept("the last attempt to connect to " + vm.name() + " failed and its backoff has not ended");
            return;
        }
        peer.users.add(new User(ready, failed));
        if (!peer.opening) {
            peer.opening = true;
            waiting.add(peer);
            openWaiting(now);
        }
    }

    /** Ends the backoff after a failure, since a VM that connects to this node is reachable again. */
    void greeted(String vm) {
        Peer peer = peers.get(vm);
        if (peer != null) {
            peer.notBefore = Long.MIN_VALUE;
            peer.pause = FIRST_PAUSE;
        }
    }

    /** Returns whether there is an open connection to the VM. */
    boolean isOpen(String vm) {
        Peer peer = peers.get(vm);
        return peer != null && peer.connection != null && peer.connection.isOpen();
    }

    /** Opens connections that were delayed by the rate limit, and removes VMs that have long been unlisted. */
    void tick(long now) {
        openWaiting(now);
        peers.values().removeIf(peer -> peer.isForgotten(now));
    }

    /** Marks VMs that are not in the list; their connections stay open for a while so that running calls can end. */
    void retain(List<Vm> listed) {
        long now = clock.getAsLong();
        Set<String> names = new HashSet<>();
        listed.forEach(vm -> names.add(vm.name()));
        peers.forEach((name, peer) -> peer.listed(names.contains(name), now));
    }

    private void openWaiting(long now) {
        while (!waiting.isEmpty() && pacing.tryOpen(now)) {
            open(waiting.poll());
        }
    }

    private void open(Peer peer) {
        Vm vm = peer.vm;
        opener.connect(vm.address(), vm.innerPort())
                .whenComplete((connection, error) -> duty.submit(() -> {
                    if (error == null && connection.peerVm().equals(vm.name())) {
                        opened(peer, connection);
                        return;
                    }
                    if (error == null) {
                        connection.close();
                    }
                    String detail = error == null
                            ? "another node answers at that address: " + connection.peerVm()
                            : message(error);
                    failed(peer, "no connection to " + vm.name() + ": " + detail);
                }));
    }

    private static String message(Throwable error) {
        Throwable cause = error.getCause() == null ? error : error.getCause();
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }

    private void opened(Peer peer, InnerConnection connection) {
        peer.opening = false;
        peer.pause = FIRST_PAUSE;
        peer.connection = connection;
        for (User user : peer.takeUsers()) {
            user.ready().accept(connection);
        }
    }

    private void failed(Peer peer, String detail) {
        peer.opening = false;
        // Half of the backoff is random, so that nodes that lost the same server do not reconnect simultaneously.
        peer.notBefore = clock.getAsLong() + peer.pause / 2 + random.nextLong(peer.pause / 2 + 1);
        peer.pause = Math.min(LONGEST_PAUSE, peer.pause * 2);
        onFailure.accept(peer.vm);
        for (User user : peer.takeUsers()) {
            user.failed().accept(detail);
        }
    }

    /** Opens a connection without blocking. */
    @FunctionalInterface
    interface Opener {
        CompletableFuture<InnerConnection> connect(String address, int port);
    }

    private record User(Consumer<InnerConnection> ready, Consumer<String> failed) {}

    /** The connection to one VM and the calls that wait for it. */
    private static final class Peer {
        private Vm vm;
        private InnerConnection connection;
        private boolean opening;
        private long notBefore = Long.MIN_VALUE;
        private long pause = FIRST_PAUSE;
        private OptionalLong unlistedAt = OptionalLong.empty();
        private List<User> users = new ArrayList<>();

        /** Sets the VM's current address and closes the connection to a previous one. */
        void move(Vm current) {
            if (vm != null && (!vm.address().equals(current.address()) || vm.innerPort() != current.innerPort())) {
                close();
                notBefore = Long.MIN_VALUE;
            }
            vm = current;
        }

        void listed(boolean now, long time) {
            if (now) {
                unlistedAt = OptionalLong.empty();
            } else if (unlistedAt.isEmpty()) {
                unlistedAt = OptionalLong.of(time);
            }
        }

        /** Closes the connection and returns true if the VM has been unlisted for {@link #UNLISTED_KEPT}. */
        boolean isForgotten(long now) {
            if (opening || unlistedAt.isEmpty() || now - unlistedAt.getAsLong() < UNLISTED_KEPT) {
                return false;
            }
            close();
            return true;
        }

        List<User> takeUsers() {
            List<User> taken = users;
            users = new ArrayList<>();
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
