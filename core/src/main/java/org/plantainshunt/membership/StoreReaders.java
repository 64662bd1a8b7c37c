package org.plantainshunt.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/**
 * Decides whether a node reads the platform's store itself or relies on other nodes of its region that do.
 *
 * <p>All nodes rank the VMs of a region in the same order, by a hash of the name; the first few are its readers. Each
 * other node asks two of them in turn for their contact with the store. A node that is asked reads the store for as
 * long as it is asked, even if it is not one of the first: the ranking needs no agreement. A source that does not reply
 * or has lost the store is replaced by the next in rank. A node without a report of a current contact reads the store
 * itself, so that documents stay current without any reader; it does so soon if its sources say that they have lost the
 * store. Confined to one thread.
 *
 * <p>The load that this answers: the calls to the store and its pending watches, which would otherwise grow with the
 * number of nodes times the number of changes.
 */
public final class StoreReaders {
    /** The time between two requests of a node, in nanoseconds; its sources are asked in turn. */
    static final long REQUEST_INTERVAL = TimeUnit.MILLISECONDS.toNanos(500);

    /** The time after which a node that has had no report of a current contact reads the store, before jitter. */
    static final long REPORT_TIMEOUT = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** The time after which a node whose sources have all lost the store reads it, in nanoseconds, before jitter. */
    private static final long REPLACEMENT_TIMEOUT = TimeUnit.MILLISECONDS.toNanos(200);

    /** The time in which a source has to reply, in nanoseconds. */
    private static final long REPLY_TIMEOUT = TimeUnit.MILLISECONDS.toNanos(1_200);

    /** How long a source that did not reply is left out, in nanoseconds. */
    private static final long SILENT_EXCLUSION = TimeUnit.SECONDS.toNanos(10);

    /** How long a source that has lost the store is left out, in nanoseconds. */
    private static final long LOST_EXCLUSION = TimeUnit.SECONDS.toNanos(2);

    /** How long a node reads for another one after its last request, in nanoseconds. */
    private static final long FOLLOWER_TIMEOUT = TimeUnit.SECONDS.toNanos(4);

    /** Spreads the first reads of nodes that lose all readers at once, in nanoseconds for each node of the region. */
    private static final long JITTER_PER_NODE = TimeUnit.MILLISECONDS.toNanos(8);

    private static final int SOURCES = 2;
    private static final int MINIMUM_READERS = 2;
    private static final HashFunction HASH = Hashing.murmur3_128();

    private final String ownVm;
    private final RandomGenerator random;
    private final Map<String, Long> unansweredRequests = new HashMap<>();
    private final Map<String, Long> excludedUntil = new HashMap<>();
    private final Map<String, Long> followers = new HashMap<>();
    /** When each source last reported a current contact; one that has lost the store since is not contained. */
    private final Map<String, Long> reports = new HashMap<>();

    private List<String> ranking = List.of();
    /** When the last current report was withdrawn, if there was none since. */
    private OptionalLong withdrawnAt = OptionalLong.empty();
    /** How long after that the node reads itself, before jitter. */
    private long readAfterWithdrawal = REPLACEMENT_TIMEOUT;

    private int hastyRequests;
    private long reportJitter;
    private long nextRequest;
    private int turn;

    /** A node's contact with the store, as it reports it. */
    public enum Contact {
        /** Its last read succeeded, and it receives changes. */
        CURRENT,
        /** Its last read failed. */
        LOST
    }

    /**
     * Creates the state of a node that knows no other node.
     *
     * @param ownVm the name of the node's VM
     * @param random the source of randomness, seeded differently on each node
     */
    public StoreReaders(String ownVm, RandomGenerator random) {
        this.ownVm = ownVm;
        this.random = random;
    }

    /** Sets the names of the VMs of this node's region; its own may be among them. */
    public void region(Collection<String> vms) {
        ranking = vms.stream()
                .sorted(Comparator.comparingLong(StoreReaders::rank).thenComparing(Comparator.naturalOrder()))
                .toList();
        unansweredRequests.keySet().retainAll(ranking);
        excludedUntil.keySet().retainAll(ranking);
        reports.keySet().retainAll(ranking);
    }

    /** Returns whether this node is one of the readers of its region by rank. */
    public boolean isReaderByRank() {
        return ranking.subList(0, readerCount()).contains(ownVm);
    }

    /** Returns whether this node has to read the store and receive its changes. */
    public boolean reads(long now) {
        return isReaderByRank() || !followers(now).isEmpty() || !hasReport(now);
    }

    /** Returns the source to ask now, if a request is due; the request counts as sent. */
    public Optional<String> nextRequest(long now) {
        if (now < nextRequest || isReaderByRank()) {
            return Optional.empty();
        }
        nextRequest = now + REQUEST_INTERVAL;
        excludeSilentSources(now);
        List<String> sources = sources(now);
        if (sources.isEmpty()) {
            return Optional.empty();
        }
        turn++;
        String source = sources.get(turn % sources.size());
        unansweredRequests.putIfAbsent(source, now);
        return Optional.of(source);
    }

    /** Records that a node asked for this node's contact. */
    public void requested(String follower, long now) {
        followers.put(follower, now);
    }

    /**
     * Records what a source reported about its contact. If no other source has a current contact, the next request is
     * due at once.
     */
    public void reported(String source, Contact contact, long now) {
        unansweredRequests.remove(source);
        if (contact == Contact.LOST) {
            boolean isNews = excludedUntil.put(source, now + LOST_EXCLUSION) == null;
            withdraw(source, isNews, now);
            return;
        }
        excludedUntil.remove(source);
        reports.put(source, now);
        withdrawnAt = OptionalLong.empty();
        hastyRequests = 0;
        reportJitter = random.nextLong(1 + JITTER_PER_NODE * ranking.size());
    }

    private void withdraw(String source, boolean isNews, long now) {
        boolean hadReport = hasCurrentReport(now);
        reports.remove(source);
        if (hasCurrentReport(now)) {
            return;
        }
        if (hadReport) {
            withdrawnAt = OptionalLong.of(now);
            readAfterWithdrawal = REPLACEMENT_TIMEOUT;
        } else if (isNews) {
            // A replacement has lost the store too, so it is the store that is away, and reading soon is of no use.
            readAfterWithdrawal = REPORT_TIMEOUT;
        }
        // Limited, because all nodes ask one another while the store is away.
        if (hastyRequests < readerCount()) {
            hastyRequests++;
            nextRequest = now;
        }
    }

    /** Returns the nodes that rely on this one. */
    public List<String> followers(long now) {
        followers.values().removeIf(askedAt -> now - askedAt >= FOLLOWER_TIMEOUT);
        return List.copyOf(followers.keySet());
    }

    /** Returns the nodes that this one asks; none if it is a reader by rank. */
    public List<String> sources(long now) {
        if (isReaderByRank()) {
            return List.of();
        }
        excludedUntil.values().removeIf(until -> now >= until);
        return ranking.stream()
                .filter(vm -> !vm.equals(ownVm) && !excludedUntil.containsKey(vm))
                .limit(readerCount())
                .sorted(Comparator.comparingLong((String vm) -> rank(ownVm + " " + vm))
                        .thenComparing(Comparator.naturalOrder()))
                .limit(SOURCES)
                .toList();
    }

    private boolean hasReport(long now) {
        return hasCurrentReport(now)
                || withdrawnAt.isPresent() && now - withdrawnAt.getAsLong() < readAfterWithdrawal + reportJitter;
    }

    private boolean hasCurrentReport(long now) {
        return reports.values().stream().anyMatch(reportedAt -> now - reportedAt < REPORT_TIMEOUT + reportJitter);
    }

    private void excludeSilentSources(long now) {
        unansweredRequests.entrySet().removeIf(request -> {
            boolean silent = now - request.getValue() >= REPLY_TIMEOUT;
            if (silent) {
                excludedUntil.put(request.getKey(), now + SILENT_EXCLUSION);
            }
            return silent;
        });
    }

    /** Grows with the square root of the region's size, and so do the requests that a reader replies to. */
    private int readerCount() {
        int count = Math.max(MINIMUM_READERS, (int) Math.round(Math.sqrt(ranking.size()) / 2));
        return Math.min(count, ranking.size());
    }

    private static long rank(String text) {
        return HASH.hashString(text, StandardCharsets.UTF_8).asLong();
    }
}
