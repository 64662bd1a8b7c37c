package org.plantainshunt.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.plantainshunt.configuration.PriorityClass;

/**
 * Chooses the backend server for a call.
 *
 * <p>Two random servers of this region are compared by the expected time of the call; servers of other regions are
 * considered when those of this region are slow or have standing queues. Comparing only two bounds the share of a
 * server that looks idle to all nodes at once. A server that is much slower than its peers gets only trial calls, and a
 * server that started just now gets a growing share. Confined to one thread.
 */
public final class BackendServerChoice {
    /** The multiple of the peers' latency from which a call is late. */
    private static final int LATE_MULTIPLE = 3;

    /** The late share from which a server is slow, and by how much it must exceed that of its peers. */
    private static final double SLOW_SHARE = 0.5;

    private static final double SLOW_EXCESS = 0.3;

    private final RandomGenerator random;

    /**
     * Creates the choice.
     *
     * @param random the source of randomness
     */
    public BackendServerChoice(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses a backend server; the caller then reports the call to it by {@link Upstream#started}.
     *
     * @param candidates the usable servers of the service
     * @param excludedVms the names of VMs that were tried already
     * @param priorityClass the class of the call; critical calls are no trials unless nothing else is left
     * @param now the time in nanoseconds
     * @return the server, or empty if no candidate is left
     */
    public Optional<Upstream> choose(
            List<Upstream> candidates, Set<String> excludedVms, PriorityClass priorityClass, long now) {
        judge(candidates, now);
        List<Upstream> permitted = new ArrayList<>(candidates.size());
        for (Upstream candidate : candidates) {
            if (!excludedVms.contains(candidate.vm().name())) {
                permitted.add(candidate);
            }
        }
        if (permitted.isEmpty()) {
            return Optional.empty();
        }
        Optional<Upstream> trial = trial(permitted, priorityClass, now);
        return trial.isPresent() ? trial : Optional.of(regular(permitted, now));
    }

    private void judge(List<Upstream> candidates, long now) {
        long reference = reference(candidates);
        for (Upstream candidate : candidates) {
            candidate.lateAfter(
                    reference == 0
                            ? Long.MAX_VALUE
                            : LATE_MULTIPLE * reference + candidate.distance().roundTrip());
        }
        double peersLate = lowerMedianLate(candidates, now);
        double limit = Math.max(SLOW_SHARE, peersLate + SLOW_EXCESS);
        for (Upstream candidate : candidates) {
            judge(candidate, limit, now);
        }
    }

    private static void judge(Upstream candidate, double limit, long now) {
        Trials trials = candidate.trials();
        if (!trials.slow() && candidate.lateShare(now) > limit) {
            trials.markSlow(now);
        } else if (trials.slow() && trials.passed()) {
            trials.clear();
            candidate.clearLateShare();
            candidate.ramp().recovered(now);
        }
    }

    /** Returns the lower median of the typical latencies without the network, in nanoseconds; 0 if none is known. */
    private static long reference(List<Upstream> candidates) {
        long[] typical = new long[candidates.size()];
        int known = 0;
        for (Upstream candidate : candidates) {
            if (candidate.typicalLatency() > 0) {
                typical[known++] = Math.max(
                        1, candidate.typicalLatency() - candidate.distance().roundTrip());
            }
        }
        Arrays.sort(typical, 0, known);
        return known == 0 ? 0 : typical[(known - 1) / 2];
    }

    private static double lowerMedianLate(List<Upstream> candidates, long now) {
        double[] late = new double[candidates.size()];
        for (int index = 0; index < late.length; index++) {
            late[index] = candidates.get(index).lateShare(now);
        }
        Arrays.sort(late);
        return late.length == 0 ? 0 : late[(late.length - 1) / 2];
    }

    private static Optional<Upstream> trial(List<Upstream> permitted, PriorityClass priorityClass, long now) {
        for (Upstream candidate : permitted) {
            Trials trials = candidate.trials();
            if (!trials.slow()) {
                continue;
            }
            if (priorityClass != PriorityClass.CRITICAL && trials.due(now)) {
                trials.choose(now);
                return Optional.of(candidate);
            }
            trials.sentElsewhere();
        }
        return Optional.empty();
    }

    private Upstream regular(List<Upstream> permitted, long now) {
        List<Upstream> fit = new ArrayList<>(permitted);
        fit.removeIf(candidate -> candidate.trials().slow());
        if (fit.isEmpty()) {
            fit = permitted;
        }
        List<Upstream> tier = tier(fit, now);
        List<Upstream> present = present(tier, now);
        return better(present, now);
    }

    /** Returns the servers of this region unless all their queues stand and another region has one that doesn't. */
    private static List<Upstream> tier(List<Upstream> fit, long now) {
        List<Upstream> near = new ArrayList<>(fit);
        near.removeIf(candidate -> candidate.distance() == Distance.OTHER_REGION);
        List<Upstream> free = new ArrayList<>(fit);
        free.removeIf(candidate -> candidate.queueStanding(now));
        if (near.isEmpty()) {
            return fit;
        }
        for (Upstream candidate : near) {
            if (!candidate.queueStanding(now)) {
                return near;
            }
        }
        return free.isEmpty() ? near : free;
    }

    /** Returns the servers that take part in this choice; a ramping server does so with its share as probability. */
    private List<Upstream> present(List<Upstream> tier, long now) {
        double largest = 0;
        for (Upstream candidate : tier) {
            largest = Math.max(largest, candidate.ramp().share(now));
        }
        List<Upstream> present = new ArrayList<>(tier.size());
        for (Upstream candidate : tier) {
            double share = candidate.ramp().share(now) / largest;
            if (share >= 1 || random.nextDouble() < share) {
                present.add(candidate);
            }
        }
        return present;
    }

    private Upstream better(List<Upstream> present, long now) {
        int size = present.size();
        if (size == 1) {
            return present.get(0);
        }
        int first = random.nextInt(size);
        int second = (first + 1 + random.nextInt(size - 1)) % size;
        Upstream one = present.get(first);
        Upstream other = present.get(second);
        return expectedTime(other, now) < expectedTime(one, now) ? other : one;
    }

    private static double expectedTime(Upstream upstream, long now) {
        double load = 1 + (double) upstream.outstanding() / Math.max(1, upstream.slots());
        return upstream.distance().roundTrip() + upstream.latency(now) * load;
    }
}
