package org.plantainshunt.bench.cost;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.plantainshunt.admission.Admission;
import org.plantainshunt.admission.AdmissionQueue;
import org.plantainshunt.admission.CallEnd;
import org.plantainshunt.admission.CallEntry;
import org.plantainshunt.admission.Priority;
import org.plantainshunt.configuration.AllowedCall;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.Policy;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.execution.Outcome;
import org.plantainshunt.execution.TicketTable;
import org.plantainshunt.result.RefusedException;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.routing.BackendServerChoice;
import org.plantainshunt.routing.Distance;
import org.plantainshunt.routing.DownstreamLevels;
import org.plantainshunt.routing.Upstream;
import org.plantainshunt.routing.UpstreamEnd;

/**
 * JMH benchmarks of the CPU time and the allocation of the decisions that a node makes for one call.
 *
 * <p>Run with {@code bin/measure-decisions}. Used by one thread.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DecisionCosts {
    private static final long CALL_INTERVAL = TimeUnit.MICROSECONDS.toNanos(100);
    private static final long DEADLINE = TimeUnit.SECONDS.toNanos(1);
    private static final long RUN_TIME = TimeUnit.MILLISECONDS.toNanos(5);
    private static final Service SERVICE = new Service("deep", 30, 300, 60, Duration.ofMillis(20), 0.5, 10);
    private static final Policy POLICY =
            new Policy(3, 0.1, Duration.ofSeconds(1), Duration.ofSeconds(1), 1024 * 1024, 1024 * 1024);

    /** The number of backend servers of the service; at the design size the average is 25. */
    @Param({"4", "25", "100"})
    public int upstreams;

    private final Random random = new Random(1);
    private final ArrayDeque<CallEntry> running = new ArrayDeque<>();
    private AdmissionQueue queue;
    private TicketTable tickets;
    private List<Upstream> candidates;
    private BackendServerChoice choice;
    private DownstreamLevels levels;
    private Kind kind;
    private long now;
    private long calls;

    /** Fills the data structures as in a node under load. */
    @Setup(Level.Trial)
    public void setUp() {
        queue = new AdmissionQueue(SERVICE, refused -> {});
        tickets = new TicketTable("vm", 1, 50_000, POLICY, random);
        choice = new BackendServerChoice(random);
        candidates = IntStream.range(0, upstreams)
                .mapToObj(i -> new Upstream(
                        new Vm("vm-" + i, "deep", "one", "127.0.0.1", 1, false),
                        i % 2 == 0 ? Distance.SAME_DATA_CENTRE : Distance.SAME_REGION,
                        30))
                .toList();
        Kind deep = new Kind("deep", "lookup", PriorityClass.STANDARD, false, Duration.ofSeconds(1), List.of());
        kind = new Kind(
                "front",
                "browse",
                PriorityClass.SHEDDABLE,
                false,
                Duration.ofSeconds(1),
                List.of(new AllowedCall("deep", "lookup", 2)));
        Map<String, Kind> kinds = Map.of("front", kind, "deep", deep);
        levels = new DownstreamLevels((service, name) -> Optional.ofNullable(kinds.get(service)));
        candidates.forEach(upstream -> levels.report(upstream.vm().name(), "deep", 300, 0));
    }

    /** Offers a call, finishes the oldest running one and starts waiting ones, with all slots busy. */
    @Benchmark
    public int admission() {
        now += CALL_INTERVAL;
        Priority priority = Priority.ofValue(random.nextInt(512));
        CallEntry entry = new CallEntry("id", priority, "lookup", false, now + DEADLINE, now);
        if (queue.offer(entry, now) == Admission.START) {
            running.add(entry);
        }
        if (!running.isEmpty() && now - running.peek().startedAt() >= RUN_TIME) {
            queue.finished(running.poll(), CallEnd.ANSWERED, now);
            running.addAll(queue.startable(now));
        }
        return queue.level();
    }

    /** Chooses a backend server and records the start and the end of the call. */
    @Benchmark
    public Optional<Upstream> choice() {
        now += CALL_INTERVAL;
        Optional<Upstream> chosen = choice.choose(candidates, Set.of(), PriorityClass.STANDARD, now);
        chosen.ifPresent(upstream -> {
            upstream.started(calls, now);
            upstream.ended(calls++, UpstreamEnd.ANSWERED, now + RUN_TIME);
        });
        return chosen;
    }

    /** Checks the shedding levels of the services that the kind calls. */
    @Benchmark
    public boolean downstreamCheck() {
        now += CALL_INTERVAL;
        return levels.check(kind, 400, now).isPresent();
    }

    /** Issues a ticket, uses it, stores its outcome and looks up the outcome for one repeat. */
    @Benchmark
    public Object ticket() throws RefusedException {
        now += CALL_INTERVAL;
        String ticket = tickets.issue("deep", "store", now).text();
        tickets.begin(ticket, "deep", "store", now);
        tickets.answered(ticket, new Outcome(ResultCode.ANSWERED, 200, List.of(), new byte[64]), now);
        return tickets.begin(ticket, "deep", "store", now);
    }

    /** Runs all benchmarks with the GC profiler, which reports allocation. */
    public static void main(String[] arguments) throws RunnerException {
        new Runner(new OptionsBuilder()
                        .include(DecisionCosts.class.getSimpleName())
                        .addProfiler(GCProfiler.class)
                        .build())
                .run();
    }
}
