package org.plantainshunt.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.plantainshunt.configuration.PriorityClass;

/**
 * Chooses the backend server for a call.
 *
 * <p>A call stays in this data centre while its server has room. Otherwise two random servers of this data centre and
 * two of the others in this region are compared by their distance and by this node's outstanding calls, and a share of
 * the calls leaves the region while its servers are overloaded. Comparing only a few bounds the share of a server that
 * looks idle to all nodes at once. In a large fleet this node has too few calls at a server to know its load from them,
 * so calls also leave the data centre if its server reported that it is crowded and another is not. A server that is
 * much slower than its peers receives only trial calls, and the share of a server that has just started ramps up.
 * Confined to one thread.
 */
public final class BackendServerChoice {
    /** A call is late if it takes longer than this multiple of its peers' typical latency. */
    private static final int LATE_MULTIPLE = 4;

    /** The share of late calls above which a server is slow, if it also exceeds that of its peers by the excess. */
    private static final double SLOW_SHARE = 0.5;

    private static final double SLOW_EXCESS = 0.3;

    /**
     * The excess of a faulty server's error share over the lower median of its peers' error shares.
     *
     * <p>A new answer has a weight of 1 in the error share, which decays with a time constant of 4 s; the share counts
     * as 0 below a total weight of 3. At a total weight of 16, which 4 answers a second sustain, such an excess is
     * rarely due to chance; at a weight of 3, a single recent error can cause it.
     */
    private static final double ERROR_EXCESS = 0.25;

    /**
     * At most one in this many servers is marked slow at a time, but at least one.
     *
     * <p>If half of the servers are excluded, the others become overloaded and late in turn, and the two halves
     * alternate indefinitely.
     */
    private static final int MAX_SLOW_DIVISOR = 3;

    /**
     * The number of calls, as a share of the slots and rounded down, by which a server in another data centre must be
     * less loaded: traffic between data centres is billed. Under load the difference no longer matters.
     */
    private static final double OTHER_DATA_CENTRE_PENALTY = 0.05;

    /** The share of its slots from which a server is crowded: calls are about to wait there. */
    private static final double CROWDED = 0.85;

    /** This node's share of a server's calls from which its own calls show the load. */
    private static final double TELLING_SHARE = 0.1;

    /** The number of random servers that are compared within a data centre, and of other data centres. */
    private static final int COMPARED = 2;

    /** By how much less another server must be used, as a share of its slots, to be better than a crowded one. */
    private static final double LESS_CROWDED = 0.1;

    /**
     * The spillover wait multiple until a policy is in force; skewed service times alone may cause waiting times up to
     * this multiple of the lowest latency.
     */
    private static final double DEFAULT_SPILLOVER_WAIT_MULTIPLE = 0.75;

    private final RandomGenerator random;
    private double spilloverWaitMultiple = DEFAULT_SPILLOVER_WAIT_MULTIPLE;
    private final Map<String, Spillover> spillovers = new HashMap<>();

    /**
     * Creates a choice without observations.
     *
     * @param random the source of randomness
     */
    public BackendServerChoice(RandomGenerator random) {
        this.random = random;
    }

    /** Sets the waiting time in a region, as a multiple of the lowest latency, from which calls leave it. */
    public void spilloverWaitMultiple(double multiple) {
        spilloverWaitMultiple = multiple;
    }

    /**
     * Chooses a backend server; the caller then reports the call to it by {@link Upstream#started}.
     *
     * @param candidates the usable servers of the service
     * @param excludedVms the names of VMs that were tried already
     * @param priorityClass the class of the call; a critical call becomes a trial only if no other call did for a while
     * @param now the time in nanoseconds
     * @return the server, or empty if no candidate is left
     */
    public Optional<Upstream> choose(
            List<Upstream> candidates, Set<String> excludedVms, PriorityClass priorityClass, long now) {
        updateSlowMarks(candidates, now);
        List<Upstream> permitted = new ArrayList<>(candidates.size());
        for (Upstream candidate : candidates) {
            if (!excludedVms.contains(candidate.vm().name())) {
                permitted.add(candidate);
            }
        }
        if (permitted.isEmpty()) {
            return Optional.empty();
        }
        Optional<Upstream> trial = chooseTrial(permitted, priorityClass, now);
        return trial.isPresent() ? trial : Optional.of(chooseRegular(permitted, now));
    }

    /** Returns whether a server answers with errors clearly more often than its peers. */
    public static boolean hasMoreErrorsThanPeers(Upstream upstream, List<Upstream> candidates, long now) {
        double[] shares = candidates.stream()
                .filter(candidate -> candidate != upstream)
                .mapToDouble(candidate -> candidate.errorShare(now))
                .sorted()
                .toArray();
        return shares.length > 0 && upstream.errorShare(now) > shares[(shares.length - 1) / 2] + ERROR_EXCESS;
    }

    private static void updateSlowMarks(List<Upstream> candidates, long now) {
        int slow = 0;
        for (Upstream candidate : candidates) {
            unmarkIfRecovered(candidate, now);
            slow += candidate.slow() ? 1 : 0;
        }
        int maxNewMarks = Math.max(1, candidates.size() / MAX_SLOW_DIVISOR) - slow;
        markSlow(candidates, maxNewMarks, now);
    }

    /**
     * Marks slow servers, at most {@code maxNewMarks} of them.
     *
     * <p>A cold server is not marked, because trial calls alone never warm it up; its ramp bounds its share meanwhile.
     * Nor is a server that refused calls recently: its calls may be late because they wait in its queue.
     */
    private static void markSlow(List<Upstream> candidates, int maxNewMarks, long now) {
        long reference = referenceLatency(candidates);
        for (Upstream candidate : candidates) {
            candidate.lateAfter(
                    reference == 0
                            ? Long.MAX_VALUE
                            : LATE_MULTIPLE * reference + candidate.distance().roundTrip());
        }
        double limit = Math.max(SLOW_SHARE, lowerMedianLateShare(candidates, now) + SLOW_EXCESS);
        int left = maxNewMarks;
        for (Upstream candidate : candidates) {
            boolean late = candidate.lateShare(now) > limit && !candidate.ramp().cold(now);
            if (left > 0 && late && !candidate.slow() && !candidate.full(now)) {
                candidate.trials().markSlow(now);
                left--;
            }
        }
    }

    private static void unmarkIfRecovered(Upstream candidate, long now) {
        if (candidate.slow() && candidate.trials().passed()) {
            candidate.trials().clear();
            candidate.clearLateShare();
            candidate.ramp().recovered(now);
        }
    }

    /** Returns the lower median of the typical latencies without network time, in nanoseconds; 0 if none is known. */
    private static long referenceLatency(List<Upstream> candidates) {
        long[] typical = new long[candidates.size()];
        int known = 0;
        for (Upstream candidate : candidates) {
            if (candidate.settled()) {
                typical[known++] = withoutNetwork(candidate);
            }
        }
        Arrays.sort(typical, 0, known);
        return known == 0 ? 0 : typical[(known - 1) / 2];
    }

    private static long withoutNetwork(Upstream candidate) {
        return Math.max(1, candidate.typicalLatency() - candidate.distance().roundTrip());
    }

    private static double lowerMedianLateShare(List<Upstream> candidates, long now) {
        double[] late = new double[candidates.size()];
        for (int index = 0; index < late.length; index++) {
            late[index] = candidates.get(index).lateShare(now);
        }
        Arrays.sort(late);
        return late.length == 0 ? 0 : late[(late.length - 1) / 2];
    }

    private static boolean isFar(Upstream candidate) {
        return candidate.distance() == Distance.OTHER_REGION;
    }

    private static Optional<Upstream> chooseTrial(List<Upstream> permitted, PriorityClass priorityClass, long now) {
        for (Upstream candidate : permitted) {
            Trials trials = candidate.trials();
            if (!trials.slow()) {
                continue;
            }
            if (priorityClass == PriorityClass.CRITICAL ? trials.overdue(now) : trials.due(now)) {
                trials.choose(now);
                return Optional.of(candidate);
            }
            trials.sentElsewhere();
        }
        return Optional.empty();
    }

    private Upstream chooseRegular(List<Upstream> permitted, long now) {
        List<Upstream> notSlow = without(permitted, candidate -> candidate.slow());
        if (notSlow.isEmpty()) {
            return best(permitted, now);
        }
        List<Upstream> near = without(notSlow, BackendServerChoice::isFar);
        List<Upstream> far = without(notSlow, candidate -> !isFar(candidate));
        if (near.isEmpty() || far.isEmpty()) {
            return best(near.isEmpty() ? far : near, now);
        }
        Spillover spillover = spillovers.computeIfAbsent(near.get(0).vm().service(), service -> new Spillover());
        boolean spillsOver = random.nextDouble() < spillover.share(near, far, spilloverWaitMultiple, now);
        return best(spillsOver ? far : near, now);
    }

    private static List<Upstream> without(List<Upstream> all, Predicate<Upstream> unwanted) {
        List<Upstream> rest = new ArrayList<>(all);
        rest.removeIf(unwanted);
        return rest;
    }

    /** Returns the best of two random servers of this data centre and two random ones of others. */
    private Upstream best(List<Upstream> candidates, long now) {
        long reference = referenceLatency(candidates);
        List<Upstream> local = without(candidates, candidate -> !isLocal(candidate));
        if (local.isEmpty() || local.size() == candidates.size()) {
            return bestOfTwo(candidates, reference, now);
        }
        Upstream inside = bestOfTwo(local, reference, now);
        if (inside.hasRoom(now)) {
            return inside;
        }
        if (candidates.size() <= COMPARED) {
            return bestOfTwo(candidates, reference, now);
        }
        Upstream outside = bestOfTwo(without(candidates, BackendServerChoice::isLocal), reference, now);
        boolean better = cost(outside, reference, now) < cost(inside, reference, now);
        return better || relievesCrowding(inside, outside, now) ? outside : inside;
    }

    /**
     * Returns whether the reports speak for another server and this node's own calls don't speak against it. A node
     * with a good part of the calls at a server knows more from them than from a report.
     */
    private static boolean relievesCrowding(Upstream crowded, Upstream other, long now) {
        if (crowded.ownShareOfReported() >= TELLING_SHARE || other.load(now) > crowded.load(now)) {
            return false;
        }
        double utilisation = crowded.reportedUtilisation(now);
        return utilisation >= CROWDED && other.reportedUtilisation(now) < utilisation - LESS_CROWDED;
    }

    private static boolean isLocal(Upstream candidate) {
        return candidate.distance() == Distance.SAME_DATA_CENTRE;
    }

    private Upstream bestOfTwo(List<Upstream> candidates, long reference, long now) {
        int size = candidates.size();
        if (size == 1) {
            return candidates.get(0);
        }
        int first = random.nextInt(size);
        int second = (first + 1 + random.nextInt(size - 1)) % size;
        Upstream one = candidates.get(first);
        Upstream other = candidates.get(second);
        return cost(other, reference, now) < cost(one, reference, now) ? other : one;
    }

    /**
     * Returns the load plus the penalty for another data centre, times the network time plus the service's latency.
     *
     * <p>The server's own latency is left out: it lags behind the load, so that nodes that compare by it send all calls
     * to one server after the other. The cost of a ramping server is divided by its share, except with a probability
     * equal to its share: it receives about its share even of a few calls, and more if the others are loaded.
     */
    private double cost(Upstream upstream, long reference, long now) {
        double share = upstream.ramp().share(now);
        double scale = share >= 1 || random.nextDouble() < share ? 1 : share;
        double penalty = upstream.distance() == Distance.SAME_DATA_CENTRE
                ? 0
                : (int) (OTHER_DATA_CENTRE_PENALTY * upstream.slots());
        return (1 + upstream.load(now) + penalty) / scale * (upstream.distance().roundTrip() + reference);
    }
}
