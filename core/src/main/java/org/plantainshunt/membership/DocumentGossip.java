package org.plantainshunt.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.plantainshunt.configuration.DocumentVersion;

/**
 * The decisions that spread the newest document of one kind to all nodes.
 *
 * <p>Invariant: the current version only moves upwards in the order of {@link DocumentVersion}. Every node polls the
 * platform, announces a newer document to a few random peers at once, and compares versions with one random peer each
 * second, so no single node's failure stops the distribution. The random peers are drawn from a few partners, which
 * change slowly, so that connections are used again. Confined to one thread.
 *
 * <pre>{@code
 * if (gossip.wants(announced, now)) {
 *     gossip.requested(announced, now);
 *     // ask the announcing peer for the document, and after its arrival and validation:
 *     List<String> next = gossip.accepted(announced, peers);
 * }
 * }</pre>
 */
public final class DocumentGossip {
    /** The peers that an accepted document is announced to; four reach 98 nodes in 100 without any exchange. */
    private static final int ANNOUNCE_TO = 4;

    /**
     * The peers that this node keeps contact with.
     *
     * <p>With a new random peer each time, a node in a large fleet makes a new connection with almost every message,
     * which takes about 2 KB/s for greetings and ends with a connection to every node.
     */
    private static final int PARTNERS = 24;

    /** The exchanges after which one partner is replaced by another random peer: about a minute. */
    private static final int EXCHANGES_PER_PARTNER = 60;

    /** The reads at the platform that the whole fleet makes for one kind of document, a second. */
    private static final double READS_PER_SECOND = 50;

    private static final double SHORTEST_POLL_SECONDS = 1;
    private static final double LONGEST_POLL_SECONDS = 60;

    /** The jitter of a poll, as a share of the interval to either side. */
    private static final double POLL_JITTER = 0.2;

    private static final double NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    /** The time after which a requested document is asked from another peer, in nanoseconds. */
    private static final long REQUEST_TIMEOUT = TimeUnit.SECONDS.toNanos(1);

    private final RandomGenerator random;
    private Optional<DocumentVersion> current = Optional.empty();
    private Optional<DocumentVersion> requested = Optional.empty();
    private final List<String> partners = new ArrayList<>();
    private List<String> partnersOf = List.of();
    private long requestedAt;
    private int exchanges;

    /**
     * Creates the state of a node without a document.
     *
     * @param random the source of randomness, seeded differently on each node
     */
    public DocumentGossip(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Notes that a document is in force and chooses the peers to announce it to.
     *
     * @param version the version of the document
     * @param peers the names of all other nodes, each once
     * @return the peers to tell at once; none if the version is not newer than the current one
     */
    public List<String> accepted(DocumentVersion version, List<String> peers) {
        if (!newer(version)) {
            return List.of();
        }
        current = Optional.of(version);
        if (requested.isPresent() && requested.get().compareTo(version) <= 0) {
            requested = Optional.empty();
        }
        keepPartners(peers);
        return sample(partners, ANNOUNCE_TO);
    }

    /**
     * Returns the time to the next poll of the platform, so that the fleet makes about 50 reads a second.
     *
     * @param fleetSize the number of nodes
     */
    public Duration nextPoll(int fleetSize) {
        double interval = Math.max(SHORTEST_POLL_SECONDS, Math.min(LONGEST_POLL_SECONDS, fleetSize / READS_PER_SECOND));
        double jitter = 1 + POLL_JITTER * (2 * random.nextDouble() - 1);
        return Duration.ofNanos((long) (interval * jitter * NANOSECONDS));
    }

    /**
     * Chooses the peer to compare versions with in this second.
     *
     * <p>Passing the same list object while the peers are the same saves comparing them.
     *
     * @param peers the names of all other nodes, each once
     * @return the peer, or empty if there is none
     */
    public Optional<String> nextExchange(List<String> peers) {
        exchanges++;
        if (exchanges % EXCHANGES_PER_PARTNER == 0 && partners.size() == PARTNERS) {
            partners.remove(random.nextInt(PARTNERS));
        }
        keepPartners(peers);
        return partners.isEmpty() ? Optional.empty() : Optional.of(partners.get(random.nextInt(partners.size())));
    }

    /**
     * Returns whether to ask a peer for its document now.
     *
     * <p>While a document is on its way, that version and older ones are not asked for again for 1 s. A newer one is
     * asked for at once.
     *
     * @param theirs the peer's version
     * @param now the time in nanoseconds
     */
    public boolean wants(DocumentVersion theirs, long now) {
        if (!newer(theirs)) {
            return false;
        }
        return requested.isEmpty() || now - requestedAt >= REQUEST_TIMEOUT || theirs.compareTo(requested.get()) > 0;
    }

    /**
     * Notes that a peer was asked for a document.
     *
     * @param version the version that was asked for
     * @param now the time in nanoseconds
     */
    public void requested(DocumentVersion version, long now) {
        requested = Optional.of(version);
        requestedAt = now;
    }

    /** Notes that the requested document cannot come, so that the next peer that has it is asked at once. */
    public void requestFailed(DocumentVersion version) {
        if (requested.isPresent() && requested.get().equals(version)) {
            requested = Optional.empty();
        }
    }

    /**
     * Notes that a peer could not be reached, so that another takes its place among the partners.
     *
     * <p>Without this, a node whose partners happen to be mostly dead hears of a document seconds after the others.
     */
    public void unreachable(String peer) {
        partners.remove(peer);
    }

    /** Returns the version in force, or empty before the first document. */
    public Optional<DocumentVersion> current() {
        return current;
    }

    private boolean newer(DocumentVersion version) {
        return current.isEmpty() || version.compareTo(current.get()) > 0;
    }

    /** Drops partners that are no longer peers and fills up with random peers. */
    private void keepPartners(List<String> peers) {
        if (peers != partnersOf) {
            partners.retainAll(new HashSet<>(peers));
            partnersOf = peers;
        }
        if (partners.size() >= Math.min(PARTNERS, peers.size())) {
            return;
        }
        Set<String> kept = new LinkedHashSet<>(partners);
        if (peers.size() <= PARTNERS) {
            kept.addAll(peers);
        }
        while (kept.size() < Math.min(PARTNERS, peers.size())) {
            kept.add(peers.get(random.nextInt(peers.size())));
        }
        partners.clear();
        partners.addAll(kept);
    }

    private List<String> sample(List<String> peers, int count) {
        if (peers.size() <= count) {
            return List.copyOf(peers);
        }
        List<String> sample = new ArrayList<>(count);
        while (sample.size() < count) {
            String peer = peers.get(random.nextInt(peers.size()));
            if (!sample.contains(peer)) {
                sample.add(peer);
            }
        }
        return sample;
    }
}
