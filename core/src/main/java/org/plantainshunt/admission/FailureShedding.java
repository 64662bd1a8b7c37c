package org.plantainshunt.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.PriorityClass;

/**
 * Refuses part of the requests whose backend servers fail because a service that they call is overloaded.
 *
 * <p>A request that fails part-way has consumed capacity of every service it reached. While a kind of request fails
 * often, a growing share of it is refused before it is sent, until the rest succeeds. Among the kinds that fail, only
 * the least important class is refused at first; the next one follows when the refused share of that class is close to
 * its maximum. Kinds that succeed are never refused, and a few failures, such as those of one faulty server among
 * several, are tolerated. Failures while no service that the request needed lacked capacity have another cause, which
 * refusals would not relieve, and do not count. Confined to one thread.
 *
 * <pre>{@code
 * if (shedding.refuses(kind, now)) {
 *     refuse();
 * }
 * ...
 * shedding.ended(kind, failed, now);
 * }</pre>
 */
public final class FailureShedding {
    /**
     * The time constant of the failing share, in nanoseconds.
     *
     * <p>It must be longer than the deadlines of requests: a request may fail only at its deadline, and a result must
     * still count when the requests sent after it have ended. On the users' platform, the deadline of a kind of request
     * is the time limit of its route, which is below 4 s.
     */
    private static final double TIME_CONSTANT = TimeUnit.MILLISECONDS.toNanos(4_000);
    /** The time constant that ends refusals: a longer one keeps refusing for seconds after the overload has ended. */
    private static final double RECENT_TIME_CONSTANT = TimeUnit.MILLISECONDS.toNanos(1_500);
    /** The weight of results below which the failing share of a kind may be due to chance. */
    private static final double ENOUGH_RESULTS = 12;
    /** The weight of recent results below which the long-term failing share is used. */
    private static final double ENOUGH_RECENT_RESULTS = 4;
    /** The failing share of an overloaded kind; two of four servers that fail every second call stay below it. */
    private static final double OVERLOAD_THRESHOLD = 0.35;
    /** The target for the failing share of an overloaded kind. */
    private static final double TARGET_FAILING_SHARE = 0.2;
    /** The time in which the refused share rises by the excess of the failing share over the target, in nanoseconds. */
    private static final double RISE_TIME = TimeUnit.MILLISECONDS.toNanos(1_500);
    /** The time in which it falls from 1 to 0, in nanoseconds; longer, as admitted requests load the service again. */
    private static final double FALL_TIME = TimeUnit.SECONDS.toNanos(3);
    /**
     * The longer time in which it falls from 1 to 0 while the failing share is at the target, in nanoseconds; the fall
     * slows to zero as the failing share approaches the overload threshold. Such failures may have another cause than
     * overload, which refusals do not relieve.
     */
    private static final double SLOW_FALL_TIME = TimeUnit.SECONDS.toNanos(10);
    /** The largest refused share: the remaining requests detect that the service has recovered. */
    private static final double MAX_REFUSED_SHARE = 0.7;
    /** The refused share of a class from which the next more important one is refused too. */
    private static final double ESCALATION_SHARE = 0.65;
    /** The upper bound on the elapsed time of one update, in nanoseconds. */
    private static final long MAX_ELAPSED = TimeUnit.MILLISECONDS.toNanos(200);
    /** The time after which a kind without calls is removed, in nanoseconds. */
    private static final long REMOVED_AFTER = TimeUnit.SECONDS.toNanos(30);

    private final RandomGenerator random;
    private final Map<Kind, Results> byKind = new HashMap<>();

    /**
     * Creates an instance that refuses nothing yet.
     *
     * @param random decides which calls are refused
     */
    public FailureShedding(RandomGenerator random) {
        this.random = random;
    }

    /** Returns whether a new request of a kind is to be refused, at a time in nanoseconds. */
    public boolean refuses(Kind kind, long now) {
        Results results = byKind.get(kind);
        if (results == null) {
            return false;
        }
        results.usedAt = now;
        updateRefusedShare(kind.priorityClass(), results, now);
        return results.refusedShare > 0 && random.nextDouble() < results.refusedShare;
    }

    /**
     * Records how a request ended at its backend server.
     *
     * @param kind its kind
     * @param failed whether the backend server failed or took too long
     * @param lackedCapacity whether a service that the request needed has lacked capacity lately
     * @param now the time in nanoseconds
     */
    public void ended(Kind kind, boolean failed, boolean lackedCapacity, long now) {
        Results results = byKind.get(kind);
        if (results == null) {
            removeUnused(now);
            results = new Results(now);
            byKind.put(kind, results);
        }
        results.add(failed, failed && lackedCapacity, now);
    }

    /** Returns whether too many requests of a kind fail for a single faulty backend server to be the cause. */
    public boolean hasWidespreadFailures(Kind kind, long now) {
        Results results = byKind.get(kind);
        return results != null
                && results.all.weight(now) >= ENOUGH_RESULTS
                && results.all.share(now) > TARGET_FAILING_SHARE;
    }

    /** Returns the share of a kind's requests that is refused now, 0 to 1. */
    public double refusedShare(Kind kind) {
        Results results = byKind.get(kind);
        return results == null ? 0 : results.refusedShare;
    }

    private void updateRefusedShare(PriorityClass priorityClass, Results results, long now) {
        long elapsed = Math.max(0, Math.min(MAX_ELAPSED, now - results.updatedAt));
        results.updatedAt = now;
        double worst = maxFailingShare(priorityClass, kind -> kind.failingShare(now));
        double recent = maxFailingShare(priorityClass, kind -> kind.recentFailingShare(now));
        if (recent < TARGET_FAILING_SHARE) {
            results.refusedShare = Math.max(0, results.refusedShare - elapsed / FALL_TIME);
        } else if (worst > OVERLOAD_THRESHOLD
                && results.failingShare(now) > TARGET_FAILING_SHARE
                && mayRefuseClass(priorityClass, now)) {
            results.refusedShare = Math.min(
                    MAX_REFUSED_SHARE, results.refusedShare + (worst - TARGET_FAILING_SHARE) * elapsed / RISE_TIME);
        } else if (worst < OVERLOAD_THRESHOLD) {
            double fallFactor = Math.min(1, (OVERLOAD_THRESHOLD - worst) / (OVERLOAD_THRESHOLD - TARGET_FAILING_SHARE));
            results.refusedShare = Math.max(0, results.refusedShare - fallFactor * elapsed / SLOW_FALL_TIME);
        }
    }

    /** Returns the largest failing share among the kinds of this class and of more important ones. */
    private double maxFailingShare(PriorityClass priorityClass, ToDoubleFunction<Results> failingShare) {
        double worst = 0;
        for (Map.Entry<Kind, Results> entry : byKind.entrySet()) {
            if (entry.getKey().priorityClass().compareTo(priorityClass) <= 0) {
                worst = Math.max(worst, failingShare.applyAsDouble(entry.getValue()));
            }
        }
        return worst;
    }

    /** Returns whether all overloaded kinds of less important classes have reached the share that escalates. */
    private boolean mayRefuseClass(PriorityClass priorityClass, long now) {
        for (Map.Entry<Kind, Results> entry : byKind.entrySet()) {
            Results results = entry.getValue();
            boolean lessImportant = entry.getKey().priorityClass().compareTo(priorityClass) > 0;
            boolean overloaded = results.refusedShare > 0 || results.failingShare(now) > OVERLOAD_THRESHOLD;
            if (lessImportant && overloaded && results.refusedShare < ESCALATION_SHARE) {
                return false;
            }
        }
        return true;
    }

    private void removeUnused(long now) {
        Iterator<Results> all = byKind.values().iterator();
        while (all.hasNext()) {
            if (now - all.next().usedAt > REMOVED_AFTER) {
                all.remove();
            }
        }
    }

    /** The recent results of a kind, and the share of its requests that is refused. */
    private static final class Results {
        private final DecayingFailureShare all = new DecayingFailureShare(TIME_CONSTANT);
        private final DecayingFailureShare overloads = new DecayingFailureShare(TIME_CONSTANT);
        private final DecayingFailureShare recentOverloads = new DecayingFailureShare(RECENT_TIME_CONSTANT);
        private long updatedAt;
        private long usedAt;
        private double refusedShare;

        Results(long now) {
            updatedAt = now;
            usedAt = now;
        }

        void add(boolean failed, boolean overload, long now) {
            all.add(failed, now);
            overloads.add(overload, now);
            recentOverloads.add(overload, now);
        }

        double failingShare(long now) {
            return overloads.weight(now) < ENOUGH_RESULTS ? 0 : overloads.share(now);
        }

        double recentFailingShare(long now) {
            return recentOverloads.weight(now) < ENOUGH_RECENT_RESULTS ? failingShare(now) : recentOverloads.share(now);
        }
    }
}
