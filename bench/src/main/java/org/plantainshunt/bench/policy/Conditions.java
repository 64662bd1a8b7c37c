package org.plantainshunt.bench.policy;

import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;

/**
 * The load, faults and available servers of one simulation run.
 *
 * <p>Immutable.
 *
 * @param seconds the length of the run, in seconds
 * @param measuredFrom the second from which requests are measured; before it, adaptive values warm up
 * @param demand the new requests per second as a function of the second
 * @param repeatStyle how callers repeat failed requests
 * @param slowdown the factor by which the service time of a server grows
 * @param stragglerShare the share of the callers' requests with 100 times the usual service time
 * @param reportDelayNanos the delay of the load reports of nodes, in nanoseconds
 * @param serverFilter selects the servers that exist
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
        /** Up to two repeats with the attempt number, after the requested delay or an exponential backoff if longer. */
        POLITE,
        /** Up to five repeats without the attempt number and almost without delay. */
        HARD
    }

    /** The factor by which a server's service time grows, as a function of virtual time. */
    interface Slowdown {
        double factor(ServerLocation location, long now);
    }

    /** Identifies the server of a service in a data centre, by the index of the data centre. */
    record ServerLocation(String service, int dataCentre) {}

    /** Returns conditions without faults, with polite callers and constant demand. */
    static Conditions steady(int seconds, int measuredFrom, double requestsPerSecond) {
        return new Conditions(
                seconds,
                measuredFrom,
                second -> requestsPerSecond,
                RepeatStyle.POLITE,
                (location, now) -> 1,
                0,
                0,
                location -> true);
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
