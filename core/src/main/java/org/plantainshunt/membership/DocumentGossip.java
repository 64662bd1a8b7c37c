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
 * The gossip protocol state that spreads the newest document of one kind to all nodes.
 *
 * <p>Invariant: the current version only increases in the order of {@link DocumentVersion}. Every node polls the
 * platform, announces a newer document to a few random peers at once, and compares versions with one random peer each
 * second (an exchange), so no single node's failure stops the distribution. The random peers are chosen from a few
 * partners, which change slowly, so that connections are reused. Confined to one thread.
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
    /** The number of peers to which an accepted document is announced; four reach 98 % of nodes without exchanges. */
    private static final int ANNOUNCE_FANOUT = 4;

    /**
     * The number of peers that this node gossips with.
     *
     * <p>With a new random peer each time, a node in a large fleet opens a connection for almost every message, which
     * takes about 2 KB/s for handshakes and ends with a connection to every node.
     */
    private static final int PARTNERS = 24;

    /** The exchanges after which one partner is replaced by another random peer: about a minute. */
    private static final int EXCHANGES_PER_PARTNER = 60;

    /** The target for the platform reads per second of the whole fleet for one kind of document. */
    private static final double READS_PER_SECOND = 50;

    private static final double MIN_POLL_SECONDS = 1;
    private static final double MAX_POLL_SECONDS = 60;

    /** The jitter of a poll, as a share of the interval to either side. */
    private static final double POLL_JITTER = 0.2;

    private static final double NANOSECONDS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** The time after which a document is requested from another peer, in nanoseconds. */
    private static final long REQUEST_TIMEOUT = TimeUnit.SECONDS.toNanos(1);

    private final RandomGenerator random;
    private Optional<DocumentVersion> current = Optional.empty();
    private Optional<DocumentVersion> requested = Optional.empty();
    private final List<String> partners = new ArrayList<>();
    private List<String> partnerCandidates = List.of();
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
     * Records that a document is in force and chooses the peers to announce it to.
     *
     * @param version the version of the document
     * @param peers the names of all other nodes, each once
     * @return the peers to notify immediately; none if the version is not newer than the current one
     */
    public List<String> accepted(DocumentVersion version, List<String> peers) {
        if (!newer(version)) {
            return List.of();
        }
        current = Optional.of(version);
        if (requested.isPresent() && requested.get().compareTo(version) <= 0) {
            requested = Optional.empty();
        }
        refreshPartners(peers);
        return sample(partners, ANNOUNCE_FANOUT);
    }

    /**
     * Returns the time to the next poll of the platform, so that the fleet makes about 50 reads a second.
     *
     * <p>The interval before jitter is 1 to 60 s, so a fleet of fewer than 50 nodes makes fewer reads and one of over
     * 3,000 nodes makes more.
     *
     * @param fleetSize the number of nodes
     */
    public Duration nextPoll(int fleetSize) {
        double interval = Math.max(MIN_POLL_SECONDS, Math.min(MAX_POLL_SECONDS, fleetSize / READS_PER_SECOND));
        double jitter = 1 + POLL_JITTER * (2 * random.nextDouble() - 1);
        return Duration.ofNanos((long) (interval * jitter * NANOSECONDS_PER_SECOND));
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
        refreshPartners(peers);
        return partners.isEmpty() ? Optional.empty() : Optional.of(partners.get(random.nextInt(partners.size())));
    }

    /**
     * Returns whether to request a peer's document now.
     *
     * <p>While a request is outstanding, that version and older ones are not requested again for 1 s. A newer version
     * is requested immediately.
     *
     * @param peerVersion the peer's version
     * @param now the time in nanoseconds
     */
    public boolean wants(DocumentVersion peerVersion, long now) {
        if (!newer(peerVersion)) {
            return false;
        }
        return requested.isEmpty()
                || now - requestedAt >= REQUEST_TIMEOUT
                || peerVersion.compareTo(requested.get()) > 0;
    }

    /**
     * Records that a document was requested from a peer.
     *
     * @param version the requested version
     * @param now the time in nanoseconds
     */
    public void requested(DocumentVersion version, long now) {
        requested = Optional.of(version);
        requestedAt = now;
    }

    /** Records that a request failed, so that the document is requested from the next peer that has it. */
    public void requestFailed(DocumentVersion version) {
        if (requested.isPresent() && requested.get().equals(version)) {
            requested = Optional.empty();
        }
    }

    /**
     * Removes an unreachable peer from the partners, so that another replaces it.
     *
     * <p>Otherwise a node whose partners are mostly dead receives a document seconds after the others.
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

    /** Removes partners that are no longer peers and replaces them with random peers. */
    private void refreshPartners(List<String> peers) {
        if (peers != partnerCandidates) {
            partners.retainAll(new HashSet<>(peers));
            partnerCandidates = peers;
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
