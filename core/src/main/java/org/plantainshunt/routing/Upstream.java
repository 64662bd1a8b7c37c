package org.plantainshunt.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.plantainshunt.admission.DecayingFailureShare;
import org.plantainshunt.configuration.Vm;

/**
 * This node's view of one backend server.
 *
 * <p>A slowed server is detected by the share of its recent calls that are <em>late</em>: they failed, or they took or
 * have been outstanding for several times the usual latency of its peers. Each call is classified at most once, at its
 * end or as soon as it is late, so a slow server is detected before it answers, and a few very long calls don't count
 * more than other calls. Refused and cancelled calls that were not late are left out. Latencies include the network.
 * Confined to one thread.
 */
public final class Upstream {
    /** The half-life of a latency peak, in nanoseconds. */
    private static final double PEAK_HALF_LIFE = TimeUnit.SECONDS.toNanos(1);

    /** The step of the typical latency per answer; it doubles in 35 steps in one direction and varies by some 10 %. */
    private static final double TYPICAL_STEP = 0.02;

    /** The time between two answers that gives a step of 1, in nanoseconds: rare answers change the latency more. */
    private static final double TYPICAL_STEP_TIME = TimeUnit.SECONDS.toNanos(5);

    private static final double MAX_TYPICAL_STEP = 0.3;

    /** The number of answers after which the typical latency is settled; before, its steps are larger. */
    private static final int SETTLED_AFTER = 10;

    /** The time in which the lowest typical latency doubles unless it is observed again, in nanoseconds. */
    private static final double LOWEST_DOUBLES_IN = TimeUnit.MINUTES.toNanos(1);

    /** The share of its slots up to which a server has room: calls neither wait nor are served more slowly. */
    private static final double ROOMY = 0.6;

    /** The free slots of a server that has room, so that bursts of other nodes find some too. */
    private static final int MIN_FREE_SLOTS = 16;

    /** Less than one call that was refused or failed a second ago. */
    private static final double FEW_UNSERVED = 0.5;

    /** The half-life of the load that a server reported, in nanoseconds. */
    private static final double REPORT_HALF_LIFE = TimeUnit.SECONDS.toNanos(1);

    /** The half-life of refused and failed calls in the load estimate, in nanoseconds. */
    private static final double UNSERVED_HALF_LIFE = TimeUnit.SECONDS.toNanos(1);

    /**
     * The time since the last classified call that gives a call a weight of 1 in the late share, in nanoseconds; the
     * weight is subject to the bounds below.
     *
     * <p>Two late calls in a row raise the share over one half at a few calls per second. It takes six at high rates,
     * where two calls in a row are late by chance every few seconds.
     */
    private static final double LATE_WEIGHT_TIME = TimeUnit.MILLISECONDS.toNanos(600);

    private static final double MIN_LATE_WEIGHT = 0.12;
    private static final double MAX_LATE_WEIGHT = 0.3;

    /** The time constant for averaging the recent latency and for its decay without answers, in nanoseconds. */
    private static final double RECENT_TIME_CONSTANT = TimeUnit.MILLISECONDS.toNanos(150);

    /** The time for which a server counts as full after a refusal, in nanoseconds. */
    private static final long FULL_AFTER_REFUSAL = TimeUnit.MILLISECONDS.toNanos(200);

    /** The time constant of the error share, in nanoseconds. */
    private static final double ERROR_TIME_CONSTANT = TimeUnit.SECONDS.toNanos(4);

    /** The weight of answers from which the error share is significant. */
    private static final double ENOUGH_ANSWERS = 3;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private Distance distance;
    private final Map<Long, Call> outstanding = new LinkedHashMap<>();
    private final Deque<Call> unclassified = new ArrayDeque<>();
    private final DecayingFailureShare errors = new DecayingFailureShare(ERROR_TIME_CONSTANT);
    private final Trials trials = new Trials();
    private final Ramp ramp = new Ramp();
    private Vm vm;
    private int slots;
    private long incarnation;
    /** The backend server that the present incarnation of its node serves, if the VM list names it. */
    private Optional<String> servedInstance = Optional.empty();

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
    private long classifiedAt = NEVER;
    private long lateAfter = Long.MAX_VALUE;
    private int reportedInFlight;
    private int reportedQueued;
    private long reportedAt = NEVER;
    private long refusedAt = NEVER;

    /**
     * Creates the view of a backend server without observations.
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

    /**
     * Replaces the entry of the VM list, the distance and the slots, and keeps the observations. A backend server that
     * replaces another under the same node is cold.
     *
     * @param now the time in nanoseconds
     */
    public void configure(Vm newVm, Distance newDistance, int newSlots, long now) {
        boolean replaced = vm.instance().isPresent() && !vm.instance().equals(newVm.instance());
        this.vm = newVm;
        if (replaced) {
            servedInstance = newVm.instance();
            ramp.start(now);
        }
        this.distance = newDistance;
        this.slots = newSlots;
    }

    /** Returns the VM. */
    public Vm vm() {
        return vm;
    }

    /** Returns the distance of the backend server from this node. */
    public Distance distance() {
        return distance;
    }

    /** Returns the number of calls that the backend server runs at a time. */
    public int slots() {
        return slots;
    }

    /** Returns the calls of all nodes that run at the backend server by its last report; for the status page. */
    public int reportedInFlight() {
        return reportedInFlight;
    }

    /** Returns the calls of all nodes that wait at the serving node by its last report; for the status page. */
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

    /** Returns the incarnation of the node's process; 0 before the first handshake. */
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
        unclassified.add(call);
        trials.started(callId);
    }

    /**
     * Counts the end of a call; an unknown call is ignored.
     *
     * <p>Only complete answers update the latency: a server that refuses or fails quickly must not look fast.
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
            updateLatencies(took, now);
        }
        if (end == UpstreamEnd.REFUSED || end == UpstreamEnd.FAILED) {
            unserved = unserved(now) + 1;
            unservedAt = now;
        }
        if (end == UpstreamEnd.REFUSED) {
            refusedAt = now;
        }
        if (!call.classified && (late || end == UpstreamEnd.ANSWERED)) {
            classify(call, late, now);
        }
        call.classified = true;
        trials.ended(callId, end, late, now);
    }

    /** Counts an answer and whether it was an error of the backend server, at a time in nanoseconds. */
    public void answered(boolean error, long now) {
        errors.add(error, now);
    }

    /** Returns the share of the recent answers that were errors, 0 to 1; 0 if there were too few. */
    double errorShare(long now) {
        return errors.weight(now) < ENOUGH_ANSWERS ? 0 : errors.share(now);
    }

    /**
     * Records the load that the serving node reports with an answer or a refusal.
     *
     * @param inFlight the calls that run at the backend server, of all nodes
     * @param queued the calls that wait at the serving node
     * @param now the time in nanoseconds
     */
    public void reported(int inFlight, int queued, long now) {
        reportedInFlight = inFlight;
        reportedQueued = queued;
        reportedAt = now;
    }

    /**
     * Records that the node's process has been replaced. Its backend server may be cold, unless the VM list names the
     * same one as before, which then ran on while its node was restarted.
     *
     * <p>The late share is reset; calls to the former process that are still outstanding are not classified.
     *
     * @param newIncarnation the incarnation in the handshake
     * @param now the time in nanoseconds
     */
    public void newIncarnation(long newIncarnation, long now) {
        if (newIncarnation == incarnation) {
            return;
        }
        incarnation = newIncarnation;
        for (Call call : outstanding.values()) {
            call.classified = true;
        }
        unclassified.clear();
        lateShare = 0;
        refusedAt = NEVER;
        trials.clear();
        if (servedInstance.isPresent() && servedInstance.equals(vm.instance())) {
            ramp.recovered(now);
        } else {
            ramp.start(now);
        }
        servedInstance = vm.instance();
    }

    /**
     * Returns the latency in nanoseconds: the last peak, which decays with a half-life of 1 s to the typical
     * latency, or the age of the oldest outstanding call if that is more; 0 if nothing is known.
     */
    public long latency(long now) {
        double decayingPeak =
                Math.max(0, peakLatency - typicalLatency) * Math.exp(-Math.log(2) * (now - peakAt) / PEAK_HALF_LIFE);
        return Math.max((long) (typicalLatency + decayingPeak), oldestAge(now));
    }

    /** Returns the typical latency of answers, near their median, in nanoseconds; 0 if there was none. */
    long typicalLatency() {
        return (long) typicalLatency;
    }

    /** Returns whether there were enough answers for a stable typical latency. */
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
     * <p>It is the longer of two estimates: from the latency of answers, and from this node's own calls if they alone
     * exceed the slots. Reported queues are left out, because an outdated report keeps work away long after the queue
     * has drained.
     */
    long waiting(long now) {
        double latencyIncrease = (recentLatency - lowestLatency) * Math.exp(-(now - answeredAt) / RECENT_TIME_CONSTANT);
        double service = Math.max(1, lowestLatency - distance.roundTrip());
        double ownCallsAtServer = outstanding.size() * service / (service + distance.roundTrip());
        return (long) Math.max(latencyIncrease, (ownCallsAtServer - slots) / Math.max(1, slots) * service);
    }

    /** Returns whether a call was refused recently. */
    boolean full(long now) {
        return now - refusedAt < FULL_AFTER_REFUSAL;
    }

    /**
     * Returns the outstanding calls plus the calls that were refused or failed within the last second or so.
     *
     * <p>Without the latter, a server that refuses everything immediately would have the fewest outstanding calls and
     * attract all the work (a black hole).
     */
    double load(long now) {
        return outstanding.size() + unserved(now);
    }

    /**
     * Returns the share of the slots that the calls of all nodes took at the last report, 0 or more; it decays with the
     * age of the report.
     */
    double reportedUtilisation(long now) {
        double calls = (reportedInFlight + reportedQueued) * halfLifeDecay(now - reportedAt, REPORT_HALF_LIFE);
        return calls / Math.max(1, slots);
    }

    /**
     * Returns whether the server has started up, has not refused or failed calls lately, and has many free slots by
     * both this node's own calls and the last report.
     */
    boolean hasRoom(long now) {
        boolean sound = unserved(now) < FEW_UNSERVED && ramp.share(now) >= 1;
        double used = Math.max(outstanding.size(), reportedUtilisation(now) * slots);
        return sound && used < ROOMY * slots && slots - used >= MIN_FREE_SLOTS;
    }

    /** Returns the outstanding calls of this node as a share of the calls of all nodes at the last report. */
    double ownShareOfReported() {
        return (double) outstanding.size() / Math.max(1, reportedInFlight + reportedQueued);
    }

    /** Sets the time after which a call counts as late, in nanoseconds. */
    void lateAfter(long nanoseconds) {
        lateAfter = nanoseconds;
    }

    /** Returns the share of the recent calls that were late, 0 to 1; outstanding calls that are late count. */
    double lateShare(long now) {
        while (!unclassified.isEmpty()) {
            Call oldest = unclassified.peekFirst();
            if (!oldest.classified && now - oldest.startedAt <= lateAfter) {
                break;
            }
            unclassified.removeFirst();
            if (!oldest.classified) {
                classify(oldest, true, now);
            }
        }
        return lateShare;
    }

    /** Resets the late share when trial calls have shown that the server is no longer slow. */
    void clearLateShare() {
        lateShare = 0;
    }

    /** Returns the trial calls that are sent while the server is slow. */
    Trials trials() {
        return trials;
    }

    /** Returns the ramp of the server's share after a start or a slow period. */
    Ramp ramp() {
        return ramp;
    }

    private void updateLatencies(long took, long now) {
        if (answers == 0) {
            typicalLatency = Math.max(1, took);
        } else {
            double factor = 1 + step(now);
            typicalLatency = took > typicalLatency ? typicalLatency * factor : typicalLatency / factor;
        }
        // Caps the latency, since a single straggler does not indicate a queue.
        double weight = answers == 0 ? 1 : 1 - Math.exp(-(now - answeredAt) / RECENT_TIME_CONSTANT);
        recentLatency += weight * (Math.min(took, lateAfter) - recentLatency);
        double risen = lowestLatency / halfLifeDecay(now - answeredAt, LOWEST_DOUBLES_IN);
        lowestLatency = settled() ? Math.min(typicalLatency, risen) : typicalLatency;
        answeredAt = now;
        answers++;
        if (took >= latency(now)) {
            peakLatency = took;
            peakAt = now;
        }
    }

    private double step(long now) {
        double byTime = Math.min(MAX_TYPICAL_STEP, (now - answeredAt) / TYPICAL_STEP_TIME);
        return Math.max(Math.max(TYPICAL_STEP, byTime), 1.0 / (1 + answers));
    }

    private void classify(Call call, boolean late, long now) {
        call.classified = true;
        double weight = Math.min(MAX_LATE_WEIGHT, Math.max(MIN_LATE_WEIGHT, (now - classifiedAt) / LATE_WEIGHT_TIME));
        lateShare += weight * ((late ? 1 : 0) - lateShare);
        classifiedAt = now;
    }

    private double unserved(long now) {
        return unserved == 0 ? 0 : unserved * halfLifeDecay(now - unservedAt, UNSERVED_HALF_LIFE);
    }

    private static double halfLifeDecay(long age, double halfLife) {
        return Math.exp(-Math.log(2) * age / halfLife);
    }

    private long oldestAge(long now) {
        Iterator<Call> calls = outstanding.values().iterator();
        return calls.hasNext() ? now - calls.next().startedAt : 0;
    }

    /** An outstanding call. */
    private static final class Call {
        private final long startedAt;
        private boolean classified;

        Call(long startedAt) {
            this.startedAt = startedAt;
        }
    }
}
