package secondreview;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The nodes that read the store for the others are partitioned from it, just before the configuration changes. Confined
 * to the main thread, except for the clients.
 */
final class SilentReadersCase {
    private static final int MACHINES = 6;
    private static final int SLOTS = 20;
    private static final int CONFIG_APPLY = 2_500;
    private static final int STABLE = 3_000;
    private static final int DEADLINE = 3_000;
    /** How long the clients go on after the bound; the cuts then have lasted for 5.1 s. */
    private static final int AFTERWARDS = 2_500;

    /** The machines that may be cut off, each by itself. */
    private static final int MOST_CUT = 2;

    private SilentReadersCase() {}

    public static void main(String[] arguments) {
        Case.run(arguments, "6s", MACHINES, SilentReadersCase::play);
    }

    private static int play(Deployment deployment, boolean trouble) throws Exception {
        Recorder record = deployment.record;
        AtomicInteger late = new AtomicInteger();
        List<Upstream> old = new ArrayList<>();
        for (int machine = 1; machine <= MACHINES; machine++) {
            deployment.machine(machine, machine <= MACHINES / 2 ? "scheduler" : "archive");
            Upstream upstream = deployment.upstream(machine, "i-" + machine, SLOTS);
            if (machine <= MACHINES / 2) {
                old.add(upstream);
            }
            deployment.register(machine, "i-" + machine, SLOTS, "ready");
        }
        deployment.store.put("op/config", configuration(7, "scheduler"));
        for (int machine = 1; machine <= MACHINES; machine++) {
            deployment.start(machine);
        }
        if (!deployment.awaitReady(1, 2, 3, 4, 5, 6)) {
            return Case.NOT_RUN;
        }
        Thread.sleep(STABLE + 5_000);
        Map<String, Integer> waiting = deployment.store.waiting();
        record.say("watches by machine: %s", waiting);
        List<Integer> others = new ArrayList<>();
        List<Integer> readers = new ArrayList<>();
        for (int machine = 1; machine <= MACHINES; machine++) {
            (waiting.getOrDefault(deployment.ip(machine), 0) > 0 ? readers : others).add(machine);
        }
        if (trouble) {
            if (readers.size() > MOST_CUT) {
                record.say("%d machines read the store, which is too many to cut", readers.size());
                return Case.NOT_RUN;
            }
            readers.forEach(machine -> deployment.store.partition(deployment.ip(machine)));
        }
        Thread.sleep(100);
        deployment.store.put("op/config", configuration(8, "archive"));
        long acknowledged = record.now();
        AtomicBoolean stop = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int machine : others) {
            Thread client = new Thread(() -> {
                for (int number = 0; !stop.get(); number++) {
                    // The path states when the request was sent.
                    new Client(deployment, machine)
                            .send("POST", "/push/20/" + record.now(), machine + "-" + number, DEADLINE, new byte[8]);
                }
            });
            clients.add(client);
        }
        for (Upstream upstream : old) {
            upstream.listener((at, request) -> {
                long sent = Long.parseLong(request.target().split("/")[3]);
                if (sent > acknowledged + CONFIG_APPLY) {
                    late.incrementAndGet();
                }
            });
        }
        clients.forEach(Thread::start);
        Thread.sleep(CONFIG_APPLY + AFTERWARDS);
        stop.set(true);
        for (Thread client : clients) {
            client.join();
        }
        record.say(
                "CONFIG: %d requests sent later than %d ms after the acknowledgement were run by the old service",
                late.get(), CONFIG_APPLY);
        return late.get() > 0 ? Case.BROKEN : Case.HELD;
    }

    private static String configuration(int version, String service) {
        return Deployment.configuration(
                version,
                Deployment.route("r-push", "/push/", "unsafe", "1200ms", service),
                Deployment.service("scheduler"),
                Deployment.service("archive"));
    }
}
