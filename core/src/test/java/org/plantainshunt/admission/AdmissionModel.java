package org.plantainshunt.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.LongToDoubleFunction;

import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.configuration.Service;

/**
 * Simulates a backend server behind an admission queue and entry nodes that follow its level, on a virtual clock.
 *
 * <p>Calls arrive at random times, a quarter in each class, and have a deadline of 2 s. The entry nodes receive the
 * level 20 ms late and let through about one call in 50 at or above it as a probe. The first 3 s are not counted.
 */
final class AdmissionModel {
    static final long MILLISECOND = 1_000_000L;
    static final long SECOND = 1_000 * MILLISECOND;
    private static final long LEVEL_LAG = 20 * MILLISECOND;
    private static final long DEADLINE = 2 * SECOND;
    private static final long COUNTED_FROM = 3 * SECOND;
    private static final int PROBE_EVERY = 50;

    /** An action scheduled at a time. */
    private record Event(long time, long order, Runnable action) {}

    /** Returns a call's mean service time in nanoseconds, by its start and the number of running calls with it. */
    interface ServiceTime {
        double at(long time, int running);
    }

    /** The state at the end of a window of 100 ms, and the answers in it. */
    record Sample(int level, int waiting, int answered) {}

    final int[] offered = new int[PriorityClass.values().length];
    final int[] answered = new int[offered.length];
    final List<Sample> samples = new ArrayList<>();
    private final Random random;
    private final AdmissionQueue queue;
    private final LongToDoubleFunction callsPerSecond;
    private final ServiceTime serviceTime;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::order));
    private final ArrayDeque<long[]> reports = new ArrayDeque<>();
    private final List<Long> latencies = new ArrayList<>();
    private final double stragglerShare;
    private int levelAtEntry = AdmissionLevel.ADMITS_ALL;
    private int answeredInWindow;
    private long now;
    private long order;

    /** Runs a simulation; service times are uniform around the given one, those of stragglers 100 times as long. */
    AdmissionModel(
            long seed,
            Service service,
            LongToDoubleFunction callsPerSecond,
            ServiceTime serviceTime,
            double stragglerShare,
            int seconds) {
        this.random = new Random(seed);
        this.callsPerSecond = callsPerSecond;
        this.serviceTime = serviceTime;
        this.stragglerShare = stragglerShare;
        this.queue = new AdmissionQueue(service, refused -> {});
        schedule(0, this::arrive);
        schedule(0, this::sample);
        while (events.peek().time() < seconds * SECOND) {
            Event event = events.remove();
            now = event.time();
            event.action().run();
        }
    }

    static Service service(int slots, int queue) {
        return new Service("recorder", slots, 900, queue, Duration.ofMillis(20), 0.5, 10);
    }

    private void schedule(long time, Runnable action) {
        events.add(new Event(time, order++, action));
    }

    private void arrive() {
        schedule(
                now + (long) (-Math.log(1 - random.nextDouble()) * SECOND / callsPerSecond.applyAsDouble(now)),
                this::arrive);
        Priority priority = Priority.ofValue(random.nextInt(Priority.VALUES));
        offered[priority.priorityClass().ordinal()] += now < COUNTED_FROM ? 0 : 1;
        while (!reports.isEmpty() && reports.peek()[0] <= now) {
            levelAtEntry = (int) reports.remove()[1];
        }
        if (priority.value() >= levelAtEntry && random.nextInt(PROBE_EVERY) != 0) {
            return;
        }
        CallEntry entry = new CallEntry("r" + order, priority, "k", false, now + DEADLINE, now);
        if (queue.offer(entry, now) == Admission.START) {
            occupySlot(entry);
        }
        reports.add(new long[] {now + LEVEL_LAG, queue.level()});
    }

    private void occupySlot(CallEntry entry) {
        boolean straggler = random.nextDouble() < stragglerShare;
        long end = now
                + (long) (serviceTime.at(now, queue.running()) * (0.5 + random.nextDouble()) * (straggler ? 100 : 1));
        schedule(Math.min(end, entry.deadline()), () -> end(entry, end <= entry.deadline(), straggler));
    }

    private void end(CallEntry entry, boolean complete, boolean straggler) {
        if (entry.state != CallEntry.State.RUNNING) {
            return;
        }
        queue.finished(entry, complete ? CallEnd.ANSWERED : CallEnd.CANCELLED, now);
        if (complete && !straggler && now >= COUNTED_FROM) {
            answeredInWindow++;
            answered[entry.priority().priorityClass().ordinal()]++;
            latencies.add(now - entry.arrivedAt());
        }
        startNext();
    }

    private void startNext() {
        queue.callsToCancel(now).forEach(entry -> queue.finished(entry, CallEnd.CANCELLED, now));
        queue.startable(now).forEach(this::occupySlot);
        reports.add(new long[] {now + LEVEL_LAG, queue.level()});
    }

    private void sample() {
        startNext();
        schedule(now + 100 * MILLISECOND, this::sample);
        samples.add(new Sample(queue.level(), queue.waiting(), answeredInWindow));
        answeredInWindow = 0;
    }

    double answeredShare(PriorityClass priorityClass) {
        return (double) answered[priorityClass.ordinal()] / offered[priorityClass.ordinal()];
    }

    double answeredPerSecond() {
        return Arrays.stream(answered).sum() * (double) SECOND / (now - COUNTED_FROM);
    }

    /** Returns the latency that one call in 100 exceeds, in milliseconds. */
    double p99() {
        latencies.sort(null);
        return latencies.get((int) (0.99 * latencies.size())) / (double) MILLISECOND;
    }
}
