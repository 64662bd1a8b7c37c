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
 * Measures the latency that nodes add: calls through one node, two nodes and a chain of ten services are interleaved
 * with direct calls to the last backend server.
 *
 * <p>The load is open-loop: requests are sent at a fixed rate, and latency counts from the planned send time, so that
 * there is no coordinated omission. Run with {@code bin/measure-latency}. Used by one thread.
 */
public final class LatencyProbe {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final int ROUNDS = 6;
    private static final int WARM_UP_ROUNDS = 3;
    private static final int ROUND_SECONDS = 8;
    private static final double MEAN_MILLISECONDS = 2;
    private static final int CHAIN_LENGTH = 10;
    private static final int CHAIN_RATE = 20;
    private static final long NANOSECONDS_PER_MICROSECOND = 1000;
    private static final long MAX_MICROSECONDS = TimeUnit.SECONDS.toMicros(30);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private LatencyProbe() {}

    /**
     * Runs the measurement, which takes about three minutes.
     *
     * @param arguments the requests per second on each of the three routes, 300 by default
     */
    public static void main(String[] arguments) throws Exception {
        int rate = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 300;
        LatencyProbe probe = new LatencyProbe();
        probe.measureHops(rate);
        probe.measureChain();
        System.exit(0);
    }

    private void measureHops(int rate) throws Exception {
        FleetDocument document = FleetDocument.read(DesignSizeDocument.document(1, 2));
        try (Fleet fleet = start(document)) {
            FleetVm target = fleet.vms("service-1").get(0);
            FleetVm other = fleet.vms("service-0").get(0);
            List<URI> routes = List.of(
                    URI.create("http://" + target.backendServerAddress() + "/kind-1"),
                    URI.create("http://" + target.callerAddress() + "/service-1/kind-1"),
                    URI.create("http://" + other.callerAddress() + "/service-1/kind-1"));
            List<String> names = List.of("direct", "one node", "two nodes");
            for (int round = 0; round < ROUNDS; round++) {
                Result result = send(routes, rate, ROUND_SECONDS);
                for (int route = 0; route < routes.size(); route++) {
                    print(round, names.get(route), rate, result, route);
                }
            }
        }
    }

    private void measureChain() throws Exception {
        FleetDocument document = FleetDocument.read(DesignSizeDocument.document(1, CHAIN_LENGTH));
        try (Fleet fleet = start(document)) {
            FleetVm entry = fleet.vms("service-0").get(0);
            FleetVm last = fleet.vms("service-" + (CHAIN_LENGTH - 1)).get(0);
            List<URI> routes = List.of(
                    URI.create("http://" + last.backendServerAddress() + "/kind-1"),
                    URI.create("http://" + entry.callerAddress() + "/service-0/kind-1"));
            for (int round = 0; round < ROUNDS; round++) {
                Result result = send(routes, CHAIN_RATE, ROUND_SECONDS);
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
        fleet.awaitReady(START_TIMEOUT);
        return fleet;
    }

    private Result send(List<URI> routes, int rate, int seconds) throws InterruptedException {
        Result result = new Result(routes.size());
        long interval = TimeUnit.SECONDS.toNanos(1) / ((long) rate * routes.size());
        long begin = System.nanoTime();
        long count = (long) rate * routes.size() * seconds;
        for (long i = 0; i < count; i++) {
            long planned = begin + i * interval;
            long wait = planned - System.nanoTime();
            if (wait > 0) {
                TimeUnit.NANOSECONDS.sleep(wait);
            }
            int route = (int) (i % routes.size());
            sendOne(routes.get(route), planned, result, route);
        }
        Thread.sleep(1000);
        return result;
    }

    private void sendOne(URI uri, long planned, Result result, int route) {
        HttpRequest request =
                HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(5)).build();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding()).whenComplete((response, error) -> {
            if (error != null || response.statusCode() != 200) {
                result.failures.incrementAndGet();
                return;
            }
            long microseconds = (System.nanoTime() - planned) / NANOSECONDS_PER_MICROSECOND;
            result.times.get(route).recordValue(Math.max(1, Math.min(MAX_MICROSECONDS, microseconds)));
        });
    }

    private static void print(int round, String name, int rate, Result result, int route) {
        Histogram histogram = result.times.get(route);
        System.out.println(String.format(
                Locale.ROOT,
                "%s round %d, %d/s, %-18s p50 %7.2f ms, p99 %7.2f ms, p999 %7.2f ms, %d failures",
                round < WARM_UP_ROUNDS ? "warming " : "measured",
                round,
                rate,
                name,
                histogram.getValueAtPercentile(50) / 1000.0,
                histogram.getValueAtPercentile(99) / 1000.0,
                histogram.getValueAtPercentile(99.9) / 1000.0,
                result.failures.get()));
    }

    /** The latencies of each route, in microseconds, and the number of failures on all routes. */
    private static final class Result {
        private final List<Histogram> times;
        private final AtomicLong failures = new AtomicLong();

        Result(int routes) {
            times = IntStream.range(0, routes)
                    .<Histogram>mapToObj(route -> new ConcurrentHistogram(MAX_MICROSECONDS, 3))
                    .toList();
        }
    }
}
