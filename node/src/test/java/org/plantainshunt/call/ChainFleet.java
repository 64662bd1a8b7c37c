package org.plantainshunt.call;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.TreeMap;

import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.DocumentBuilder;
import org.plantainshunt.configuration.InvalidDocumentException;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.Policy;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.configuration.VmList;
import org.plantainshunt.result.ResultCode;

/**
 * Plays requests that need a scarce service several times, one call after the other, at nodes on a virtual clock.
 *
 * <p>Browses call the front, middle and deep services and then the scarce one four times; uploads do so twice at a
 * time; retirements call the scarce service directly. Callers repeat a request once, after the stated time. The scarce
 * service has the same number of slots however many nodes there are.
 */
final class ChainFleet {
    static final long LOCAL_DELAY = FakeFleet.MILLISECOND / 10;
    static final String BROWSE = "browse";
    static final String UPLOAD = "upload";
    static final String RETIRE = "retire";

    private static final String LOOKUP = "look-up";
    private static final int SCARCE_SLOTS = 224;
    private static final long SECOND = 1_000 * FakeFleet.MILLISECOND;
    private static final long CALLER_TIME = 5 * SECOND;
    private static final int CALLER_PATIENCE_DIVISOR = 3;
    private static final long MIN_RETRY_DELAY = 200;
    private static final double SCARCE_WORK = 73 * FakeFleet.MILLISECOND;
    private static final double RETIRE_WORK = 100 * FakeFleet.MILLISECOND;
    private static final int CALLS_OF_BROWSE = 4;
    private static final double NEARLY_FULL = 0.95;
    /** The relative durations of calls at the scarce servers, whose speeds average 1. */
    private static final double[] DURATIONS = {1, 1, 0.75, 1.5};

    private static final Map<String, Calls> CALLS = Map.of(
            BROWSE,
            new Calls("middle", "look-up-recording", 1, false),
            UPLOAD,
            new Calls("deep", "look-up-calendar", 2, true),
            "look-up-recording",
            new Calls("deep", "look-up-calendar", 1, false),
            "look-up-calendar",
            new Calls("scarce", LOOKUP, CALLS_OF_BROWSE, false));
    private static final Map<String, Double> WORK = Map.of(
            BROWSE,
            250.0,
            UPLOAD,
            320.0,
            RETIRE,
            100.0,
            "look-up-recording",
            15.0,
            "look-up-calendar",
            15.0,
            LOOKUP,
            73.0);

    /** The requests of each kind in ten. */
    private static final Map<String, Double> MIX = new TreeMap<>(Map.of(BROWSE, 6.0, UPLOAD, 2.4, RETIRE, 1.2));

    private final FakeFleet fleet;
    private final Map<String, int[]> sent = new HashMap<>();
    private final Map<String, int[]> served = new HashMap<>();
    private final Map<String, int[]> refusedAtEntry = new HashMap<>();
    private final Map<String, int[]> otherReplies = new HashMap<>();
    private int laterCallsRefused;
    private final int seconds;
    private int attempts;
    private double rejectedShare;
    private boolean slowWhenFull;

    /** The calls that a request makes: to which service, of which kind, how many, and whether all at once. */
    record Calls(String service, String kind, int number, boolean together) {}

    /** Creates a fleet in one region. */
    ChainFleet(long seed, int servers, int scarceServers, int seconds) throws InvalidDocumentException {
        this(seed, servers, scarceServers, seconds, 1);
    }

    ChainFleet(long seed, int servers, int scarceServers, int seconds, int regions) throws InvalidDocumentException {
        this.seconds = seconds;
        List<Vm> vms = new ArrayList<>();
        for (String service : List.of("front", "middle", "deep")) {
            add(vms, service, servers, 8 * SCARCE_SLOTS / servers);
        }
        add(vms, "scarce", scarceServers, SCARCE_SLOTS / scarceServers);
        fleet = new FakeFleet(seed, document(regions), new VmList(1, vms), vm -> new ChainBackendServer(this, vm));
    }

    static Calls callsOf(String kind) {
        return CALLS.getOrDefault(kind, new Calls("", "", 0, false));
    }

    /** Sends requests until the end that need this multiple of the scarce service's capacity. */
    void load(double from, double to, double ofCapacity) {
        double workOfMix = 0;
        for (Map.Entry<String, Double> part : MIX.entrySet()) {
            workOfMix += part.getValue() * scarceWork(part.getKey());
        }
        double mixesPerSecond = ofCapacity * SCARCE_SLOTS * SECOND / workOfMix;
        MIX.forEach(
                (kind, share) -> arrive(kind, (long) (from * SECOND), (long) (to * SECOND), share * mixesPerSecond));
    }

    private static double scarceWork(String kind) {
        return switch (kind) {
            case BROWSE -> CALLS_OF_BROWSE * SCARCE_WORK;
            case UPLOAD -> 2 * CALLS_OF_BROWSE * SCARCE_WORK;
            default -> RETIRE_WORK;
        };
    }

    /** Makes the scarce service's servers take longer for calls that start while they are nearly full. */
    void slowDownWhenNearlyFull() {
        slowWhenFull = true;
    }

    /** Makes the scarce service's servers reject this share of their calls for a while, in seconds. */
    void reject(double from, double to, double share) {
        fleet.schedule((long) (from * SECOND), () -> rejectedShare = share);
        fleet.schedule((long) (to * SECOND), () -> rejectedShare = 0);
    }

    void run() {
        fleet.runUntil(seconds * SECOND);
    }

    boolean rejects(FakeVm vm) {
        return vm.service.equals("scarce") && fleet.random.nextDouble() < rejectedShare;
    }

    /** Counts the reply to a call, which is the given one of those that its request makes. */
    void called(String kind, int number, CallReply reply) {
        boolean refused = reply.code() == ResultCode.OVERLOADED || reply.code() == ResultCode.OVERLOADED_DOWNSTREAM;
        laterCallsRefused += refused && number > 1 && kind.equals(LOOKUP) ? 1 : 0;
    }

    private static int open(FakeVm vm) {
        return ((ChainBackendServer) vm.backendServer).open();
    }

    long workTime(FakeVm vm, String kind) {
        double factor = 1;
        if (vm.service.equals("scarce")) {
            factor = DURATIONS[Integer.parseInt(vm.name.substring(vm.name.lastIndexOf('-') + 1)) % DURATIONS.length];
        }
        if (slowWhenFull && vm.service.equals("scarce")) {
            factor *= open(vm) > NEARLY_FULL * vm.listed.slots().getAsInt() ? 1.3 : 1;
        }
        double spread = Math.exp(0.4 * fleet.random.nextGaussian() - 0.08);
        return (long) (WORK.get(kind) * FakeFleet.MILLISECOND * factor * spread);
    }

    /** Returns the share of the requests of a kind, sent in these seconds, that were served. */
    double servedShare(String kind, int from, int to) {
        return (double) sum(served, kind, from, to) / Math.max(1, sum(sent, kind, from, to));
    }

    /** Returns the share of the replies to requests in these seconds that were refusals of an entry node. */
    double refusedShare(String kind, int from, int to) {
        double refused = sum(refusedAtEntry, kind, from, to);
        return refused / Math.max(1, refused + sum(otherReplies, kind, from, to));
    }

    /** Returns the work of the requests served in these seconds, as a share of the scarce service's capacity. */
    double goodput(int from, int to) {
        double work = 0;
        for (String kind : MIX.keySet()) {
            work += sum(served, kind, from, to) * scarceWork(kind);
        }
        return work / ((to - from) * (double) SECOND * SCARCE_SLOTS);
    }

    /** Returns how many calls to the scarce service were refused although an earlier one of the request had run. */
    int laterCallsRefused() {
        return laterCallsRefused;
    }

    private static int sum(Map<String, int[]> counts, String kind, int from, int to) {
        int sum = 0;
        for (int second = from; second < to; second++) {
            sum += counts.getOrDefault(kind, new int[to])[second];
        }
        return sum;
    }

    private void arrive(String kind, long from, long to, double perSecond) {
        long next = from + (long) (-Math.log(1 - fleet.random.nextDouble()) / perSecond * SECOND);
        if (next >= to) {
            return;
        }
        fleet.schedule(next - fleet.now(), () -> {
            count(sent, kind, next);
            send(kind, next, 1);
            arrive(kind, next, to, perSecond);
        });
    }

    private void send(String kind, long firstSentAt, int attempt) {
        String id = kind + "-" + attempts++;
        long left = firstSentAt + CALLER_TIME - fleet.now();
        FakeVm vm = fleet.randomVm();
        InboundCall inbound = new InboundCall(
                switch (kind) {
                    case BROWSE -> "front";
                    case UPLOAD -> "middle";
                    default -> "scarce";
                },
                kind,
                "",
                "GET",
                List.of(),
                new byte[0],
                id,
                Optional.empty(),
                OptionalLong.of(left / FakeFleet.MILLISECOND),
                1,
                Optional.empty(),
                "",
                false,
                fleet.now());
        vm.entry.call(inbound, reply -> replied(kind, firstSentAt, attempt, reply));
    }

    private void replied(String kind, long firstSentAt, int attempt, CallReply reply) {
        boolean refused = reply.code() == ResultCode.OVERLOADED_DOWNSTREAM;
        count(refused ? refusedAtEntry : otherReplies, kind, fleet.now());
        long left = firstSentAt + CALLER_TIME - fleet.now();
        if (reply.status() == 200) {
            count(served, kind, firstSentAt);
            return;
        }
        if (attempt > 1 || left <= 0 || kind.equals(UPLOAD) && reply.status() != 503) {
            return;
        }
        long stated =
                reply.refusal().map(refusal -> refusal.retryAfterMilliseconds()).orElse(0L);
        long delay =
                Math.min(Math.max(MIN_RETRY_DELAY, stated) * FakeFleet.MILLISECOND, left / CALLER_PATIENCE_DIVISOR);
        fleet.schedule(delay, () -> send(kind, firstSentAt, attempt + 1));
    }

    private void count(Map<String, int[]> counts, String kind, long at) {
        counts.computeIfAbsent(kind, any -> new int[seconds + 1])[(int) (at / SECOND)]++;
    }

    private static void add(List<Vm> vms, String service, int number, int slots) {
        for (int index = 0; index < number; index++) {
            vms.add(new Vm(
                    service + "-" + index,
                    service,
                    "zone-" + index % 8,
                    "127.0.0.1",
                    7000 + vms.size(),
                    false,
                    OptionalInt.of(slots),
                    Optional.of("instance-" + service + index)));
        }
    }

    private static Document document(int regions) throws InvalidDocumentException {
        DocumentBuilder builder = new DocumentBuilder(1, "chain")
                .policy(new Policy(3, 0.12, Duration.ofSeconds(30), Duration.ofSeconds(30), 1 << 20, 1 << 20, 1, 3));
        for (int zone = 0; zone < 8; zone++) {
            builder.dataCentre("zone-" + zone, "region-" + zone % regions);
        }
        for (String service : List.of("front", "middle", "deep", "scarce")) {
            builder.service(new Service(service, 16, 630, 128, Duration.ofMillis(100), 1, 10));
        }
        return builder.kind(kind("front", BROWSE, PriorityClass.STANDARD, false, 2_000))
                .kind(kind("middle", UPLOAD, PriorityClass.CRITICAL, true, 2_500))
                .kind(kind("scarce", RETIRE, PriorityClass.IMPORTANT, false, 1_500))
                .kind(kind("middle", "look-up-recording", PriorityClass.STANDARD, false, 2_500))
                .kind(kind("deep", "look-up-calendar", PriorityClass.STANDARD, false, 2_000))
                .kind(kind("scarce", LOOKUP, PriorityClass.STANDARD, false, 700))
                .build(new byte[] {1});
    }

    private static Kind kind(
            String service, String name, PriorityClass priorityClass, boolean atMostOnce, int milliseconds) {
        return new Kind(
                service,
                name,
                priorityClass,
                atMostOnce,
                Duration.ofMillis(milliseconds),
                List.of(),
                false,
                OptionalInt.of(2));
    }
}
