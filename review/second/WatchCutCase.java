package secondreview;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The store cuts the watches that wait, and then accepts that an entry is removed. Confined to the main thread, except
 * for the clients.
 */
final class WatchCutCase {
    private static final int MACHINES = 3;
    private static final int SLOTS = 20;
    private static final int DRAIN = 2_500;
    private static final int STABLE = 3_000;
    private static final int DEADLINE = 3_000;

    private WatchCutCase() {}

    public static void main(String[] arguments) {
        Case.run(arguments, "6s", MACHINES, WatchCutCase::play);
    }

    private static int play(Deployment deployment, boolean trouble) throws Exception {
        Recorder record = deployment.record;
        Upstream[] upstreams = new Upstream[MACHINES + 1];
        for (int machine = 1; machine <= MACHINES; machine++) {
            deployment.machine(machine, "scheduler");
            upstreams[machine] = deployment.upstream(machine, "i-" + machine, SLOTS);
            deployment.register(machine, "i-" + machine, SLOTS, "ready");
        }
        deployment.store.put(
                "op/config",
                Deployment.configuration(
                        7,
                        Deployment.route("r-push", "/push/", "unsafe", "2500ms", "scheduler"),
                        Deployment.service("scheduler")));
        for (int machine = 1; machine <= MACHINES; machine++) {
            deployment.start(machine);
        }
        if (!deployment.awaitReady(1, 2, 3)) {
            return Case.NOT_RUN;
        }
        Thread.sleep(STABLE + 3_000);

        AtomicLong last = new AtomicLong();
        AtomicBoolean stop = new AtomicBoolean();
        upstreams[1].listener((upstream, request) -> last.set(record.now()));
        List<Thread> clients = new ArrayList<>();
        for (int machine = 2; machine <= MACHINES; machine++) {
            int at = machine;
            Thread client = new Thread(() -> {
                for (int number = 0; !stop.get(); number++) {
                    new Client(deployment, at)
                            .send("POST", "/push/5/x", at + "-" + number, DEADLINE, "schedule".getBytes());
                }
            });
            clients.add(client);
            client.start();
        }
        Thread.sleep(500);
        if (trouble) {
            for (int machine = 1; machine <= MACHINES; machine++) {
                deployment.store.cutConnections(deployment.ip(machine));
            }
        }
        deployment.store.remove("servers/i-1");
        long acknowledged = record.now();
        Thread.sleep(DRAIN + 2_000);
        stop.set(true);
        for (Thread client : clients) {
            client.join();
        }
        record.say(
                "DRAIN: the last request reached the upstream %d ms after the acknowledgement that its entry is gone",
                last.get() - acknowledged);
        return last.get() - acknowledged > DRAIN ? Case.BROKEN : Case.HELD;
    }
}
