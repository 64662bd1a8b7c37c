package org.plantainshunt.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.plantainshunt.configuration.Vm;

/**
 * The view that this node has of one backend server.
 *
 * <p>A slowed server is recognised by the share of its recent calls that are <em>late</em>, which means that they took,
 * or have by now been outstanding for, several times the usual latency of its peers. Each call gives one verdict, at
 * its end or as soon as it is late, so a server is noticed before it answers, and a few calls that run very long don't
 * count more than other calls. Latencies include the network. Confined to one thread.
 */
public final class Upstream {
    /** The half-life of a latency peak, in nanoseconds. */
    private static final double PEAK_HALF_LIFE = TimeUnit.SECONDS.toNanos(1);

    /** The step of the typical latency per answer; it doubles in about 14 steps in one direction. */
    private static final double TYPICAL_STEP = 1.05;

    /** The weight of a call in the late share; four late calls in a row take it over one half. */
    private static final double LATE_WEIGHT = 0.2;

    /** The time for which a refusal marks the queue as standing, in nanoseconds. */
    private static final long REFUSAL_COUNTS_FOR = TimeUnit.MILLISECONDS.toNanos(200);

    /** The age from which a report says nothing any more, in nanoseconds. */
    private static final long REPORT_COUNTS_FOR = TimeUnit.SECONDS.toNanos(1);

    /** The time for which reports must show waiting calls before the queue counts as standing, in nanoseconds. */
    private static final long STANDING_AFTER = TimeUnit.MILLISECONDS.toNanos(100);

    private static final long NEVER = Long.MIN_VALUE / 2;

    private Distance distance;
    private final Map<Long, Call> outstanding = new LinkedHashMap<>();
    private final Deque<Call> undecided = new ArrayDeque<>();
    private final Trials trials = new Trials();
    private final Ramp ramp = new Ramp();
    private Vm vm;
    private int slots;
    private long incarnation;
    private double typicalLatency;
    private double peakLatency;
    private long peakAt = NEVER;
    private double lateShare;
    private long lateAfter = Long.MAX_VALUE;
    private int reportedInFlight;
    private int reportedQueued;
    private long reportedAt = NEVER;
    private long queuedSince = NEVER;
    private long refusedAt = NEVER;

    /**
     * Creates the view of a backend server of which nothing is known yet.
     *
     * @param vm the VM
     * @param distance how far it is from this node
     * @param slots the number of calls that the backend server runs at a time
     */
    public Upstream(Vm vm, Distance distance, int slots) {
        this.vm = vm;
        this.distance = distance;
        this.slots = slots;
    }

    /** Replaces the entry of the VM list, the distance and the slots, and keeps what was learned. */
    public void configure(Vm newVm, Distance newDistance, int newSlots) {
        this.vm = newVm;
        this.distance = newDistance;
        this.slots = newSlots;
    }

    /** Returns the VM. */
    public Vm vm() {
        return vm;
    }

    /** Returns how far the backend server is from this node. */
    public Distance distance() {
        return distance;
    }

    /** Returns the number of calls that the backend server runs at a time. */
    public int slots() {
        return slots;
    }

    /** Returns the number of calls of this node that have not ended. */
    public int outstanding() {
        return outstanding.size();
    }

    /** Returns the incarnation of the node's process; 0 if it has not been greeted. */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Counts a call that is sent to the backend server.
     *
     * @param callId a number that no other outstanding call of this upstream has
     * @param now the time in nanoseconds
     */
    public void started(long callId, long now) {
        Call call = new Call(now);
        outstanding.put(callId, call);
        undecided.add(call);
        trials.started(callId);
    }

    /**
     * Counts the end of a call; an unknown call is ignored.
     *
     * <p>Only whole answers tell the latency: a server that refuses or fails quickly must not look like a fast one.
     *
     * @param callId the number of the call
     * @param end how it ended
     * @param now the time in nanoseconds
     */
    public void ended(long callId, UpstreamEnd end, long now) {
        Call call = outstanding.remove(callId);
        if (call == null) {
            return;
        }
        long took = now - call.startedAt;
        boolean late = took > lateAfter || end == UpstreamEnd.FAILED;
        if (end == UpstreamEnd.ANSWERED) {
            answered(took, now);
        }
        if (end == UpstreamEnd.REFUSED) {
            refusedAt = now;
        }
        if (!call.decided && (late || end == UpstreamEnd.ANSWERED)) {
            decide(call, late);
        }
        call.decided = true;
        trials.ended(callId, end, late, now);
    }

    /**
     * Notes the load that the serving node reports with an answer or a refusal; the report may be seconds old.
     *
     * @param inFlight the calls that run at the backend server, of all nodes
     * @param queued the calls that wait at the serving node
     * @param now the time in nanoseconds
     */
    public void reported(int inFlight, int queued, long now) {
        boolean interrupted = now - reportedAt > REPORT_COUNTS_FOR;
        if (queued == 0) {
            queuedSince = NEVER;
        } else if (queuedSince == NEVER || interrupted) {
            queuedSince = now;
        }
        reportedInFlight = inFlight;
        reportedQueued = queued;
        reportedAt = now;
    }

    /**
     * Notes that the node's process has been replaced, so its backend server may be cold.
     *
     * <p>The late share starts anew; calls of the former process that are still outstanding give no verdict.
     *
     * @param newIncarnation the incarnation of the greeting
     * @param now the time in nanoseconds
     */
    public void newIncarnation(long newIncarnation, long now) {
        if (newIncarnation == incarnation) {
            return;
        }
        incarnation = newIncarnation;
        for (Call call : outstanding.values()) {
            call.decided = true;
        }
        undecided.clear();
        lateShare = 0;
        queuedSince = NEVER;
        refusedAt = NEVER;
        trials.clear();
        ramp.cold(now);
    }

    /**
     * Returns the latency in nanoseconds: the last peak, which fades with a half-life of 1 s towards the typical
     * latency, or the age of the oldest outstanding call if that is more; 0 if nothing is known.
     */
    public long latency(long now) {
        double fading =
                Math.max(0, peakLatency - typicalLatency) * Math.exp(-Math.log(2) * (now - peakAt) / PEAK_HALF_LIFE);
        return Math.max((long) (typicalLatency + fading), oldestAge(now));
    }

    /** Returns the typical latency of answers, near their median, in nanoseconds; 0 if there was none. */
    long typicalLatency() {
        return (long) typicalLatency;
    }

    /** Sets the time after which a call counts as late, in nanoseconds. */
    void lateAfter(long nanoseconds) {
        lateAfter = nanoseconds;
    }

    /** Returns the share of the recent calls that were late, 0 to 1; outstanding calls that are late count. */
    double lateShare(long now) {
        while (!undecided.isEmpty()) {
            Call oldest = undecided.peekFirst();
            if (!oldest.decided && now - oldest.startedAt <= lateAfter) {
                break;
            }
            undecided.removeFirst();
            if (!oldest.decided) {
                decide(oldest, true);
            }
        }
        return lateShare;
    }

    /** Forgets the late share when the server has shown that it is no longer slow. */
    void clearLateShare() {
        lateShare = 0;
    }

    /** Returns whether calls wait at the serving node for longer than a moment, or were refused just now. */
    boolean queueStanding(long now) {
        if (now - refusedAt < REFUSAL_COUNTS_FOR) {
            return true;
        }
        return now - reportedAt < REPORT_COUNTS_FOR
                && queuedSince != NEVER
                && reportedAt - queuedSince >= STANDING_AFTER;
    }

    /** Returns the calls that wait at the serving node by its last report; 0 if the report is old. */
    int reportedQueued(long now) {
        return now - reportedAt < REPORT_COUNTS_FOR ? reportedQueued : 0;
    }

    /** Returns the calls that run at the backend server by its last report; 0 if the report is old. */
    int reportedInFlight(long now) {
        return now - reportedAt < REPORT_COUNTS_FOR ? reportedInFlight : 0;
    }

    /** Returns the trial calls that are sent while the server is slow. */
    Trials trials() {
        return trials;
    }

    /** Returns the growth of the server's share after a start or a slow time. */
    Ramp ramp() {
        return ramp;
    }

    private void answered(long took, long now) {
        if (typicalLatency == 0) {
            typicalLatency = Math.max(1, took);
        } else {
            typicalLatency = took > typicalLatency ? typicalLatency * TYPICAL_STEP : typicalLatency / TYPICAL_STEP;
        }
        if (took >= latency(now)) {
            peakLatency = took;
            peakAt = now;
        }
    }

    private void decide(Call call, boolean late) {
        call.decided = true;
        lateShare += LATE_WEIGHT * ((late ? 1 : 0) - lateShare);
    }

    private long oldestAge(long now) {
        Iterator<Call> calls = outstanding.values().iterator();
        return calls.hasNext() ? now - calls.next().startedAt : 0;
    }

    /** An outstanding call. */
    private static final class Call {
        private final long startedAt;
        private boolean decided;

        Call(long startedAt) {
            this.startedAt = startedAt;
        }
    }
}
