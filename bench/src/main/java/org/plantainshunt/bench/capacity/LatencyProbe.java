package org.plantainshunt.bench.capacity;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.plantainshunt.bench.fleet.Fleet;
import org.plantainshunt.bench.fleet.FleetDocument;
import org.plantainshunt.bench.fleet.FleetPlan;
import org.plantainshunt.bench.fleet.FleetVm;

/**
 * Measures the latency that nodes add: direct calls against calls through one and two nodes, in turns in one run.
 *
 * <p>Requests are sent at a fixed rate whether earlier ones have been answered or not, and times count from the planned
 * sending. Run with {@code bin/measure-latency}. Used by one thread.
 */
public final class LatencyProbe {
    private static final Duration START = Duration.ofSeconds(60);
    private static final int ROUNDS = 6;
    private static final int WARM_ROUNDS = 3;
    private static final int ROUND_SECONDS = 8;
    private static final double MEAN_MILLISECONDS = 2;
    private static final int CHAIN = 10;
    private static final int CHAIN_RATE = 20;
    private static final long NANOSECONDS_PER_MICROSECOND = 1000;
    private static final long LONGEST_MICROSECONDS = TimeUnit.SECONDS.toMicros(30);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private LatencyProbe() {}

    /**
     * Runs the measurement, about three minutes.
     *
     * @param arguments the requests a second for each of the three ways, 300 by default
     */
    public static void main(String[] arguments) throws Exception {
        int rate = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 300;
        LatencyProbe probe = new LatencyProbe();
        probe.hops(rate);
        probe.chain();
        System.exit(0);
    }

    private void hops(int rate) throws Exception {
        FleetDocument document = FleetDocument.read(DesignDocument.document(1, 2));
        try (Fleet fleet = start(document)) {
            FleetVm target = fleet.vms("service-1").get(0);
            FleetVm other = fleet.vms("service-0").get(0);
            List<URI> ways = List.of(
                    URI.create("http://" + target.backendServerAddress() + "/kind-1"),
                    URI.create("http://" + target.callerAddress() + "/service-1/kind-1"),
                    URI.create("http://" + other.callerAddress() + "/service-1/kind-1"));
            List<String> names = List.of("direct", "one node", "two nodes");
            for (int round = 0; round < ROUNDS; round++) {
                Result result = send(ways, rate, ROUND_SECONDS);
                for (int way = 0; way < ways.size(); way++) {
                    print(round, names.get(way), rate, result, way);
                }
            }
        }
    }

    private void chain() throws Exception {
        FleetDocument document = FleetDocument.read(DesignDocument.document(1, CHAIN));
        try (Fleet fleet = start(document)) {
            FleetVm entry = fleet.vms("service-0").get(0);
            FleetVm last = fleet.vms("service-" + (CHAIN - 1)).get(0);
            List<URI> ways = List.of(
                    URI.create("http://" + last.backendServerAddress() + "/kind-1"),
                    URI.create("http://" + entry.callerAddress() + "/service-0/kind-1"));
            for (int round = 0; round < ROUNDS; round++) {
                Result result = send(ways, CHAIN_RATE, ROUND_SECONDS);
                print(round, "direct to the last", CHAIN_RATE, result, 0);
                print(round, "chain of ten", CHAIN_RATE, result, 1);
            }
        }
    }

    private static Fleet start(FleetDocument document) throws Exception {
        Map<String, Double> means = new HashMap<>();
        document.kinds().forEach(kind -> means.put(kind.service() + "/" + kind.name(), MEAN_MILLISECONDS));
        FleetPlan plan = FleetPlan.small(document).withVmsPerService(1).withMeanMilliseconds(means);
        Fleet fleet = Fleet.start(plan, Files.createTempDirectory("latency"));
        fleet.awaitReady(START);
        return fleet;
    }

    private Result send(List<URI> ways, int rate, int seconds) throws InterruptedException {
        Result result = new Result(ways.size());
        long interval = TimeUnit.SECONDS.toNanos(1) / ((long) rate * ways.size());
        long begin = System.nanoTime();
        long count = (long) rate * ways.size() * seconds;
        for (long i = 0; i < count; i++) {
            long planned = begin + i * interval;
            long wait = planned - System.nanoTime();
            if (wait > 0) {
                TimeUnit.NANOSECONDS.sleep(wait);
            }
            int way = (int) (i % ways.size());
            sendOne(ways.get(way), planned, result, way);
        }
        Thread.sleep(1000);
        return result;
    }

    private void sendOne(URI uri, long planned, Result result, int way) {
        HttpRequest request =
                HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(5)).build();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding()).whenComplete((response, error) -> {
            if (error != null || response.statusCode() != 200) {
                result.failures.incrementAndGet();
                return;
            }
            long microseconds = (System.nanoTime() - planned) / NANOSECONDS_PER_MICROSECOND;
            result.times.get(way).recordValue(Math.max(1, Math.min(LONGEST_MICROSECONDS, microseconds)));
        });
    }

    private static void print(int round, String name, int rate, Result result, int way) {
        Histogram histogram = result.times.get(way);
        System.out.println(String.format(
                Locale.ROOT,
                "%s round %d, %d/s, %-18s p50 %7.2f ms, p99 %7.2f ms, p999 %7.2f ms, %d failures",
                round < WARM_ROUNDS ? "warming " : "measured",
                round,
                rate,
                name,
                histogram.getValueAtPercentile(50) / 1000.0,
                histogram.getValueAtPercentile(99) / 1000.0,
                histogram.getValueAtPercentile(99.9) / 1000.0,
                result.failures.get()));
    }

    /** The times of each way, in microseconds, and the failures of all. */
    private static final class Result {
        private final List<Histogram> times;
        private final AtomicLong failures = new AtomicLong();

        Result(int ways) {
            times = IntStream.range(0, ways)
                    .<Histogram>mapToObj(way -> new ConcurrentHistogram(LONGEST_MICROSECONDS, 3))
                    .toList();
        }
    }
}
