package org.plantainshunt.bench.policy;

import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;

/**
 * What happens to a deployment during one run.
 *
 * <p>Immutable.
 *
 * @param seconds the length of the run, in seconds
 * @param measuredFrom the second from which requests count; the time before warms up the moving values
 * @param demand the new requests per second as a function of the second
 * @param repeats how callers repeat failed requests
 * @param slowDown the factor on the service time of a server
 * @param stragglerShare the share of the callers' requests that cost 100 times the usual
 * @param reportDelayNanos how late the load reports of nodes are, in nanoseconds
 * @param present which servers exist
 */
record Conditions(
        int seconds,
        int measuredFrom,
        DoubleUnaryOperator demand,
        Repeats repeats,
        SlowDown slowDown,
        double stragglerShare,
        long reportDelayNanos,
        Predicate<Place> present) {

    /** How callers repeat a failed request. */
    enum Repeats {
        /** Up to two repeats, after the stated or a growing delay, with the attempt number. */
        POLITE,
        /** Up to five repeats, at once, without the attempt number. */
        HARD
    }

    /** The factor on a server's service time at a virtual time. */
    interface SlowDown {
        double factor(Place place, long now);
    }

    /** A service's place in a data centre, by the data centre's index. */
    record Place(String service, int dataCentre) {}

    /** Returns conditions without any fault, with polite callers and a constant demand. */
    static Conditions steady(int seconds, int measuredFrom, double requestsPerSecond) {
        return new Conditions(
                seconds,
                measuredFrom,
                second -> requestsPerSecond,
                Repeats.POLITE,
                (place, now) -> 1,
                0,
                0,
                place -> true);
    }

    Conditions withDemand(DoubleUnaryOperator other) {
        return new Conditions(
                seconds, measuredFrom, other, repeats, slowDown, stragglerShare, reportDelayNanos, present);
    }

    Conditions withRepeats(Repeats other) {
        return new Conditions(
                seconds, measuredFrom, demand, other, slowDown, stragglerShare, reportDelayNanos, present);
    }

    Conditions withSlowDown(SlowDown other) {
        return new Conditions(seconds, measuredFrom, demand, repeats, other, stragglerShare, reportDelayNanos, present);
    }

    Conditions withStragglers(double share) {
        return new Conditions(seconds, measuredFrom, demand, repeats, slowDown, share, reportDelayNanos, present);
    }

    Conditions withReportDelay(long nanos) {
        return new Conditions(seconds, measuredFrom, demand, repeats, slowDown, stragglerShare, nanos, present);
    }

    Conditions withServers(Predicate<Place> servers) {
        return new Conditions(
                seconds, measuredFrom, demand, repeats, slowDown, stragglerShare, reportDelayNanos, servers);
    }
}
