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
 * @param repeatStyle how callers repeat failed requests
 * @param slowdown the factor on the service time of a server
 * @param stragglerShare the share of the callers' requests that cost 100 times the usual
 * @param reportDelayNanos how late the load reports of nodes are, in nanoseconds
 * @param serverFilter which servers exist
 */
record Conditions(
        int seconds,
        int measuredFrom,
        DoubleUnaryOperator demand,
        RepeatStyle repeatStyle,
        Slowdown slowdown,
        double stragglerShare,
        long reportDelayNanos,
        Predicate<ServerLocation> serverFilter) {

    /** How callers repeat a failed request. */
    enum RepeatStyle {
        /** Up to two repeats, after the stated or a growing delay, with the attempt number. */
        POLITE,
        /** Up to five repeats, at once, without the attempt number. */
        HARD
    }

    /** The factor on a server's service time at a virtual time. */
    interface Slowdown {
        double factor(ServerLocation location, long now);
    }

    /** A service's place in a data centre, by the data centre's index. */
    record ServerLocation(String service, int dataCentre) {}

    /** Returns conditions without any fault, with polite callers and a constant demand. */
    static Conditions steady(int seconds, int measuredFrom, double requestsPerSecond) {
        return new Conditions(
                seconds,
                measuredFrom,
                second -> requestsPerSecond,
                RepeatStyle.POLITE,
                (place, now) -> 1,
                0,
                0,
                place -> true);
    }

    Conditions withDemand(DoubleUnaryOperator other) {
        return new Conditions(
                seconds, measuredFrom, other, repeatStyle, slowdown, stragglerShare, reportDelayNanos, serverFilter);
    }

    Conditions withRepeatStyle(RepeatStyle other) {
        return new Conditions(
                seconds, measuredFrom, demand, other, slowdown, stragglerShare, reportDelayNanos, serverFilter);
    }

    Conditions withSlowdown(Slowdown other) {
        return new Conditions(
                seconds, measuredFrom, demand, repeatStyle, other, stragglerShare, reportDelayNanos, serverFilter);
    }

    Conditions withStragglers(double share) {
        return new Conditions(
                seconds, measuredFrom, demand, repeatStyle, slowdown, share, reportDelayNanos, serverFilter);
    }

    Conditions withReportDelay(long delayNanos) {
        return new Conditions(
                seconds, measuredFrom, demand, repeatStyle, slowdown, stragglerShare, delayNanos, serverFilter);
    }

    Conditions withServerFilter(Predicate<ServerLocation> other) {
        return new Conditions(
                seconds, measuredFrom, demand, repeatStyle, slowdown, stragglerShare, reportDelayNanos, other);
    }
}
