package org.plantainshunt.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongConsumer;

import org.HdrHistogram.Histogram;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.configuration.Vm;

/** Simulates entry nodes that send calls to backend servers with slots and a queue, on a virtual clock. */
final class RoutingModel {
    static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int SERVERS = 4;
    private static final long MEAN_SERVICE = 20 * MILLISECOND;
    private static final long REPORT_DELAY = 5 * SECOND;

    /** Chooses one of an entry node's upstreams. */
    interface Choice {
        Upstream choose(List<Upstream> upstreams, long now);
    }

    /**
     * The parameters of a simulation.
     *
     * @param slowdown the slow-down factor of the first server from 10 s on
     * @param distances a row for each data centre with the distance of each server; nodes take the rows in turn
     * @param meanService the mean time of a call at a server, in nanoseconds
     * @param reportDelay how long after an answer its load report arrives, in nanoseconds
     * @param crowding the share of the calls that enter in the first data centre, besides its usual share
     */
    record Scenario(
            int nodes,
            int slots,
            double utilisation,
            double slowdown,
            Distance[][] distances,
            long meanService,
            long reportDelay,
            double crowding) {
        Scenario(int nodes, int slots, double utilisation, double slowdown, Distance[][] distances) {
            this(nodes, slots, utilisation, slowdown, distances, MEAN_SERVICE, REPORT_DELAY, 0);
        }

        Scenario slowed(double factor) {
            return new Scenario(nodes, slots, utilisation, factor, distances, meanService, reportDelay, crowding);
        }

        int servers() {
            return distances[0].length;
        }
    }

    /** Returns the distances if the data centres, half of them in each of two regions, have servers in turn. */
    static Distance[][] twoRegions(int dataCentres, int servers) {
        Distance[][] rows = new Distance[dataCentres][servers];
        for (int row = 0; row < dataCentres; row++) {
            for (int server = 0; server < servers; server++) {
                int other = server % dataCentres;
                boolean sameRegion = row * 2 / dataCentres == other * 2 / dataCentres;
                Distance outside = sameRegion ? Distance.SAME_REGION : Distance.OTHER_REGION;
                rows[row][server] = row == other ? Distance.SAME_DATA_CENTRE : outside;
            }
        }
        return rows;
    }

    /** Returns the distances of nodes in each of four data centres, of which two and two form a region. */
    static Distance[][] fourDataCentres() {
        Distance near = Distance.SAME_DATA_CENTRE;
        Distance next = Distance.SAME_REGION;
        Distance far = Distance.OTHER_REGION;
        return new Distance[][] {
            {near, next, far, far}, {next, near, far, far}, {far, far, near, next}, {far, far, next, near}
        };
    }

    /** Returns the distances if all nodes and servers are in one region. */
    static Distance[][] oneRegion() {
        Distance[] row = new Distance[SERVERS];
        Arrays.fill(row, Distance.SAME_REGION);
        return new Distance[][] {row};
    }

    final Histogram latencies = new Histogram(TimeUnit.MINUTES.toNanos(2), 3);
    final long[] served;
    /** The calls by the distance of the server that answered them. */
    final long[] servedAtDistance = new long[Distance.values().length];

    private final Random random;
    private final Scenario scenario;
    private final List<Server> servers = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long scheduled;
    private long calls;

    RoutingModel(Scenario scenario, Function<Random, Choice> choiceFactory, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        this.served = new long[scenario.servers()];
        for (int index = 0; index < scenario.servers(); index++) {
            servers.add(new Server(index));
        }
        for (int index = 0; index < scenario.nodes; index++) {
            nodes.add(new Node(choiceFactory.apply(new Random(seed + 1 + index)), index));
        }
    }

    static Choice backendServerChoice(Random random) {
        BackendServerChoice choice = new BackendServerChoice(random);
        return (upstreams, now) ->
                choice.choose(upstreams, Set.of(), PriorityClass.STANDARD, now).orElseThrow();
    }

    static Choice roundRobin(Random random) {
        int[] next = {random.nextInt(SERVERS)};
        return (upstreams, now) -> upstreams.get(next[0]++ % upstreams.size());
    }

    static Choice leastOutstandingOfTwo(Random random) {
        return (upstreams, now) -> {
            int first = random.nextInt(SERVERS);
            Upstream one = upstreams.get(first);
            Upstream other = upstreams.get((first + 1 + random.nextInt(SERVERS - 1)) % SERVERS);
            return other.outstanding() < one.outstanding() ? other : one;
        };
    }

    /** Runs until {@code end}; the slow-down applies from 10 s on, and latencies are recorded from then. */
    RoutingModel run(long end) {
        double perSecond = scenario.utilisation * scenario.servers() * scenario.slots * SECOND / scenario.meanService;
        long next = 0;
        while (next < end) {
            next += (long) (-Math.log(1 - random.nextDouble()) * SECOND / perSecond);
            while (!events.isEmpty() && events.peek().at <= next) {
                Event event = events.poll();
                event.action.accept(event.at);
            }
            nodes.get(entryNode()).call(next);
        }
        return this;
    }

    private int entryNode() {
        int any = random.nextInt(nodes.size());
        return scenario.crowding > 0 && random.nextDouble() < scenario.crowding
                ? any - any % scenario.distances.length
                : any;
    }

    double latencyMilliseconds(double percentile) {
        return Math.round(latencies.getValueAtPercentile(percentile) / 1e5) / 10.0;
    }

    /** Returns the calls of the busiest server divided by the mean of all servers. */
    double busiestToMean() {
        LongSummaryStatistics calls = Arrays.stream(served).summaryStatistics();
        return calls.getMax() / calls.getAverage();
    }

    double shareInOwnDataCentre() {
        return (double) servedAtDistance[Distance.SAME_DATA_CENTRE.ordinal()]
                / Arrays.stream(servedAtDistance).sum();
    }

    private long serviceTime(int server, long now) {
        boolean slow = server == 0 && now >= 10 * SECOND;
        double erlang = -Math.log((1 - random.nextDouble()) * (1 - random.nextDouble())) / 2;
        return (long) (erlang * scenario.meanService * (slow ? scenario.slowdown : 1));
    }

    private void schedule(long time, LongConsumer action) {
        events.add(new Event(time, scheduled++, action));
    }

    private record Event(long at, long order, LongConsumer action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** A backend server with its queue. */
    private final class Server {
        private final int index;
        private final Deque<LongConsumer> waiting = new ArrayDeque<>();
        private int running;

        Server(int index) {
            this.index = index;
        }

        void offer(LongConsumer done, long now) {
            if (running >= scenario.slots) {
                waiting.add(done);
                return;
            }
            running++;
            RoutingModel.this.schedule(now + serviceTime(index, now), end -> {
                running--;
                if (!waiting.isEmpty()) {
                    offer(waiting.poll(), end);
                }
                done.accept(end);
            });
        }
    }

    /** An entry node. */
    private final class Node {
        private final Choice choice;
        private final List<Upstream> upstreams = new ArrayList<>();

        Node(Choice choice, int number) {
            this.choice = choice;
            for (int index = 0; index < scenario.servers(); index++) {
                Distance distance = scenario.distances[number % scenario.distances.length][index];
                upstreams.add(new Upstream(
                        new Vm("vm-" + index, "s", "d", "10.0.0." + index, 7001, false), distance, scenario.slots));
            }
        }

        void call(long now) {
            Upstream upstream = choice.choose(upstreams, now);
            int index = upstreams.indexOf(upstream);
            long call = calls++;
            long oneWay = upstream.distance().roundTrip() / 2;
            upstream.started(call, now);
            RoutingModel.this.schedule(now + oneWay, arrived -> servers.get(index)
                    .offer(done -> answer(upstream, index, call, now, done), arrived));
        }

        private void answer(Upstream upstream, int index, long call, long start, long done) {
            Server server = servers.get(index);
            int inFlight = server.running;
            int queued = server.waiting.size();
            RoutingModel.this.schedule(done + scenario.reportDelay, late -> upstream.reported(inFlight, queued, late));
            RoutingModel.this.schedule(done + upstream.distance().roundTrip() / 2, end -> {
                upstream.ended(call, UpstreamEnd.ANSWERED, end);
                if (start >= 10 * SECOND) {
                    latencies.recordValue(end - start);
                    served[index]++;
                    servedAtDistance[upstream.distance().ordinal()]++;
                }
            });
        }
    }
}
