package org.plantainshunt.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.plantainshunt.configuration.DocumentVersion;

/** Simulates nodes that spread documents from a replicated platform, on a virtual clock with message delays. */
final class GossipModel {
    static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    /** The bytes of a message with a version; all sizes include the TCP and IP headers. */
    private static final int VERSION_BYTES = 200;

    /** The bytes of a message with a compressed document. */
    private static final int DOCUMENT_BYTES = 6_500;

    /** The bytes to open a connection. */
    private static final int CONNECTION_BYTES = 1_000;

    private static final long CONNECT_TIMEOUT = 3 * SECOND;

    final DocumentVersion[] replicas = new DocumentVersion[3];
    private final List<Node> nodes = new ArrayList<>();
    private final List<String> names;
    private final EventQueue events = new EventQueue();
    private final Random random;
    private long reads;
    private int splitAt;

    GossipModel(int size, long seed) {
        random = new Random(seed);
        names = IntStream.range(0, size).mapToObj(Integer::toString).toList();
        Arrays.fill(replicas, new DocumentVersion(1, "a"));
        for (int index = 0; index < size; index++) {
            Node node = new Node(index, new DocumentGossip(new Random(seed + 1 + index)));
            node.gossip.accepted(replicas[0], List.of());
            nodes.add(node);
            events.after(
                    (long) (random.nextDouble() * node.gossip.nextPoll(size).toNanos()), node::poll);
            events.after((long) (random.nextDouble() * SECOND), node::exchange);
        }
    }

    /** Publishes a version at replicas of the platform; the others are stale. */
    void publish(DocumentVersion version, int... at) {
        for (int replica : at) {
            replicas[replica] = version;
        }
    }

    /** Partitions the nodes with a lower index from the platform and from the other nodes; 0 heals the partition. */
    void split(int index) {
        splitAt = index;
    }

    void kill(int from, int to) {
        nodes.subList(from, to).forEach(node -> node.dead = true);
    }

    /** Runs until all live nodes have a version and returns the seconds this took, or -1 after a limit. */
    double secondsUntil(DocumentVersion version, double limitSeconds) {
        long start = now();
        while (now() - start < limitSeconds * SECOND) {
            if (nodes.stream().allMatch(node -> node.dead || node.has(version))) {
                return (now() - start) / (double) SECOND;
            }
            run(SECOND / 100);
        }
        return -1;
    }

    void run(long duration) {
        events.run(duration);
    }

    long now() {
        return events.now();
    }

    double readsPerSecond() {
        return reads * (double) SECOND / now();
    }

    /** Returns the bytes a second, in and out, of the busiest node. */
    double busiestBytesPerSecond() {
        return nodes.stream().mapToLong(node -> node.bytes).max().orElseThrow() * (double) SECOND / now();
    }

    double averageBytesPerSecond() {
        return nodes.stream().mapToLong(node -> node.bytes).average().orElseThrow() * SECOND / now();
    }

    /** A simulated node, its connections and its traffic in bytes. */
    private final class Node {
        private final int index;
        private final DocumentGossip gossip;
        private final BitSet connected = new BitSet();
        private long bytes;
        private boolean dead;

        /** The versions for which the platform answers "not modified"; a read sends the entity tags of the last few. */
        private final Set<DocumentVersion> seen = new HashSet<>();

        Node(int index, DocumentGossip gossip) {
            this.index = index;
            this.gossip = gossip;
        }

        boolean has(DocumentVersion version) {
            return gossip.current().orElseThrow().equals(version);
        }

        private void poll() {
            events.after(gossip.nextPoll(nodes.size()).toNanos(), this::poll);
            if (dead || index < splitAt) {
                return;
            }
            reads++;
            DocumentVersion found = replicas[random.nextInt(replicas.length)];
            bytes += seen.contains(found) ? 2 * VERSION_BYTES : DOCUMENT_BYTES;
            seen.add(found);
            events.after(SECOND / 100, () -> accept(found));
        }

        private void exchange() {
            events.after(SECOND, this::exchange);
            gossip.nextExchange(names).ifPresent(peer -> announce(nodes.get(Integer.parseInt(peer))));
        }

        private void announce(Node peer) {
            DocumentVersion ownVersion = gossip.current().orElseThrow();
            send(peer, VERSION_BYTES, () -> peer.receiveVersion(ownVersion, this));
        }

        private void receiveVersion(DocumentVersion peerVersion, Node from) {
            if (gossip.wants(peerVersion, now())) {
                gossip.requested(peerVersion, now());
                send(from, VERSION_BYTES, () -> from.answer(this));
            } else if (gossip.current().orElseThrow().compareTo(peerVersion) > 0) {
                announce(from);
            }
        }

        private void answer(Node to) {
            DocumentVersion ownVersion = gossip.current().orElseThrow();
            send(to, DOCUMENT_BYTES, () -> to.accept(ownVersion));
        }

        private void accept(DocumentVersion version) {
            seen.add(version);
            DocumentVersion before = gossip.current().orElseThrow();
            for (String peer : gossip.accepted(version, names)) {
                announce(nodes.get(Integer.parseInt(peer)));
            }
            if (gossip.current().orElseThrow().compareTo(before) < 0) {
                throw new AssertionError("node " + index + " went back from " + before);
            }
        }

        /** Sends with a delay of 0.5 to 40 ms; messages to or from a dead node or across the partition are lost. */
        private void send(Node to, int size, Runnable action) {
            if (dead || to == this) {
                return;
            }
            int connection = connected.get(to.index) ? 0 : CONNECTION_BYTES;
            bytes += size + connection;
            boolean cut = index < splitAt != to.index < splitAt;
            if (to.dead || cut) {
                events.after(CONNECT_TIMEOUT, () -> gossip.unreachable(names.get(to.index)));
                return;
            }
            connected.set(to.index);
            to.bytes += size + connection;
            events.after((long) (SECOND * (0.0005 + 0.0395 * random.nextDouble())), () -> {
                if (!to.dead) {
                    action.run();
                }
            });
        }
    }
}
