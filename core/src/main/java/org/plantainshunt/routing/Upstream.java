package org.plantainshunt.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.plantainshunt.admission.DecayingFailureShare;
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

    /** The step of the typical latency per answer; it doubles in 35 steps in one direction and varies by some 10 %. */
    private static final double TYPICAL_STEP = 0.02;

    /** The time between two answers that gives a step of 1, in nanoseconds: rare answers move the latency further. */
    private static final double TYPICAL_STEP_TIME = TimeUnit.SECONDS.toNanos(5);

    private static final double TYPICAL_STEP_MOST = 0.3;

    /** The answers from which the typical latency is settled; before, its steps are larger. */
    private static final int SETTLED_AFTER = 10;

    /** The time in which the lowest typical latency doubles unless it is seen again, in nanoseconds. */
    private static final double LOWEST_DOUBLES_IN = TimeUnit.MINUTES.toNanos(1);

    /** The half-life of refused and failed calls in the load, in nanoseconds. */
    private static final double UNSERVED_HALF_LIFE = TimeUnit.SECONDS.toNanos(1);

    /**
     * The time after the last verdict that gives a call the weight of 1 in the late share, within the bounds below.
     *
     * <p>Two late calls in a row take the share over one half at a few calls a second, and six at high rates, where
     * chance alone makes two in a row late every few seconds.
     */
    private static final double LATE_WEIGHT_TIME = TimeUnit.MILLISECONDS.toNanos(600);

    private static final double LATE_WEIGHT_LEAST = 0.12;
    private static final double LATE_WEIGHT_MOST = 0.3;

    /** The time over which the recent latency is averaged, and over which it fades without answers, in nanoseconds. */
    private static final double RECENT = TimeUnit.MILLISECONDS.toNanos(150);

    /** The time for which a refusal shows that the server is full, in nanoseconds. */
    private static final long REFUSAL_COUNTS_FOR = TimeUnit.MILLISECONDS.toNanos(200);

    /** The time in which an answer loses most of its weight in the share of errors, in nanoseconds. */
    private static final double ERROR_MEMORY = TimeUnit.SECONDS.toNanos(4);

    /** The answers, by weight, from which the share of errors means something. */
    private static final double ENOUGH_ANSWERS = 3;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private Distance distance;
    private final Map<Long, Call> outstanding = new LinkedHashMap<>();
    private final Deque<Call> undecided = new ArrayDeque<>();
    private final DecayingFailureShare errors = new DecayingFailureShare(ERROR_MEMORY);
    private final Trials trials = new Trials();
    private final Ramp ramp = new Ramp();
    private Vm vm;
    private int slots;
    private long incarnation;
    private double typicalLatency;
    private double recentLatency;
    private double lowestLatency;
    private long answers;
    private long answeredAt = NEVER;
    private double unserved;
    private long unservedAt = NEVER;
    private double peakLatency;
    private long peakAt = NEVER;
    private double lateShare;
    private long decidedAt = NEVER;
    private long lateAfter = Long.MAX_VALUE;
    private int reportedInFlight;
    private int reportedQueued;
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

    /** Returns the calls that run at the backend server by its last report, of all nodes; for a person. */
    public int reportedInFlight() {
        return reportedInFlight;
    }

    /** Returns the calls that wait at the serving node by its last report, of all nodes; for a person. */
    public int reportedQueued() {
        return reportedQueued;
    }

    /** Returns whether the backend server is much slower than its peers and gets only trial calls. */
    public boolean slow() {
        return trials.slow();
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
        if (end == UpstreamEnd.REFUSED || end == UpstreamEnd.FAILED) {
            unserved = unserved(now) + 1;
            unservedAt = now;
        }
        if (end == UpstreamEnd.REFUSED) {
            refusedAt = now;
        }
        if (!call.decided && (late || end == UpstreamEnd.ANSWERED)) {
            decide(call, late, now);
        }
        call.decided = true;
        trials.ended(callId, end, late, now);
    }

    /** Counts an answer, which was an error of the backend server or not, at a time in nanoseconds. */
    public void answered(boolean error, long now) {
        errors.add(error, now);
    }

    /** Returns the share of the recent answers that were errors, 0 to 1; 0 if there were too few to tell. */
    double errorShare(long now) {
        return errors.weight(now) < ENOUGH_ANSWERS ? 0 : errors.share(now);
    }

    /**
     * Notes the load that the serving node reports with an answer or a refusal.
     *
     * <p>It is kept for the status page only, since a report may be seconds old; choices rest on what this node sees.
     *
     * @param inFlight the calls that run at the backend server, of all nodes
     * @param queued the calls that wait at the serving node
     * @param now the time in nanoseconds
     */
    public void reported(int inFlight, int queued, long now) {
        reportedInFlight = inFlight;
        reportedQueued = queued;
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
        refusedAt = NEVER;
        trials.clear();
        ramp.start(now);
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

    /** Returns whether there were enough answers for the typical latency to mean something. */
    boolean settled() {
        return answers >= SETTLED_AFTER;
    }

    /** Returns the lowest typical latency of the last minute or so, in nanoseconds; 0 if there was no answer. */
    long lowestLatency() {
        return (long) lowestLatency;
    }

    /**
     * Returns the time that a new call is expected to wait at the backend server, in nanoseconds.
     *
     * <p>It is the longer by two signs: the latency of answers, and this node's own calls if they alone are more than
     * the slots. Reported queues are left out, because a queue of seconds ago keeps work away long after it is gone.
     */
    long waiting(long now) {
        double raised = (recentLatency - lowestLatency) * Math.exp(-(now - answeredAt) / RECENT);
        double service = Math.max(1, lowestLatency - distance.roundTrip());
        double there = outstanding.size() * service / (service + distance.roundTrip());
        return (long) Math.max(raised, (there - slots) / Math.max(1, slots) * service);
    }

    /** Returns whether a call was refused just now. */
    boolean full(long now) {
        return now - refusedAt < REFUSAL_COUNTS_FOR;
    }

    /**
     * Returns the outstanding calls plus the calls that were refused or failed within the last second or so.
     *
     * <p>Without the latter, a server that refuses everything at once would have the fewest outstanding calls and draw
     * all the work.
     */
    double load(long now) {
        return outstanding.size() + unserved(now);
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
                decide(oldest, true, now);
            }
        }
        return lateShare;
    }

    /** Forgets the late share when the server has shown that it is no longer slow. */
    void clearLateShare() {
        lateShare = 0;
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
        if (answers == 0) {
            typicalLatency = Math.max(1, took);
        } else {
            double factor = 1 + step(now);
            typicalLatency = took > typicalLatency ? typicalLatency * factor : typicalLatency / factor;
        }
        // Longer latencies are cut, since a single straggler says nothing about the queue.
        double weight = answers == 0 ? 1 : 1 - Math.exp(-(now - answeredAt) / RECENT);
        recentLatency += weight * (Math.min(took, lateAfter) - recentLatency);
        double risen = lowestLatency / halved(now - answeredAt, LOWEST_DOUBLES_IN);
        lowestLatency = settled() ? Math.min(typicalLatency, risen) : typicalLatency;
        answeredAt = now;
        answers++;
        if (took >= latency(now)) {
            peakLatency = took;
            peakAt = now;
        }
    }

    private double step(long now) {
        double byTime = Math.min(TYPICAL_STEP_MOST, (now - answeredAt) / TYPICAL_STEP_TIME);
        return Math.max(Math.max(TYPICAL_STEP, byTime), 1.0 / (1 + answers));
    }

    private void decide(Call call, boolean late, long now) {
        call.decided = true;
        double weight = Math.min(LATE_WEIGHT_MOST, Math.max(LATE_WEIGHT_LEAST, (now - decidedAt) / LATE_WEIGHT_TIME));
        lateShare += weight * ((late ? 1 : 0) - lateShare);
        decidedAt = now;
    }

    private double unserved(long now) {
        return unserved == 0 ? 0 : unserved * halved(now - unservedAt, UNSERVED_HALF_LIFE);
    }

    private static double halved(long age, double halfLife) {
        return Math.exp(-Math.log(2) * age / halfLife);
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
