package org.plantainshunt.replay;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

import org.plantainshunt.result.ResultCode;

/**
 * Counts the outcomes of the calls of one class that arrived in one second.
 *
 * <p>Confined to one thread while it counts; safe for use by any thread afterwards.
 */
public final class Tally {
    private final Map<Integer, Integer> refused = new TreeMap<>();
    private int offered;
    private int started;
    private int answered;
    private long firstOverloadRefusalTime = Long.MAX_VALUE;

    void offered() {
        offered++;
    }

    void started() {
        started++;
    }

    void answered() {
        answered++;
    }

    void refused(int code, long time) {
        refused.merge(code, 1, Integer::sum);
        if (code == ResultCode.OVERLOADED.number()) {
            firstOverloadRefusalTime = Math.min(firstOverloadRefusalTime, time);
        }
    }

    /** Returns the number of calls offered. */
    public int getOffered() {
        return offered;
    }

    /** Returns the number of calls handed over. */
    public int getStarted() {
        return started;
    }

    /** Returns the number of calls answered within their deadline. */
    public int getAnswered() {
        return answered;
    }

    /** Returns the number of calls refused, by the number of the result code. */
    public Map<Integer, Integer> getRefused() {
        return new TreeMap<>(refused);
    }

    /** Returns when a call was first refused for overload (1100), in microseconds of the trace. */
    public OptionalLong firstOverloadRefusalTime() {
        return firstOverloadRefusalTime == Long.MAX_VALUE
                ? OptionalLong.empty()
                : OptionalLong.of(firstOverloadRefusalTime);
    }
}
