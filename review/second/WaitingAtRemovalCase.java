package secondreview;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many users come at once, and an upstream leaves whose entry is removed without having said that it drains. Confined
 * to the main thread, except for the clients.
 */
final class WaitingAtRemovalCase {
    private static final int SLOTS = 14;
    private static final int DRAIN = 2_500;
    private static final int STABLE = 3_000;
    /** How long the upstream serves beyond {@link #DRAIN}. */
    private static final int LITTLE_LONGER = 600;

    private static final int DEADLINE = 5_000;
    private static final int WORK = 900;
    /** The requests that come in a moment; the burst has 1.5 times as many. */
    private static final int USUAL = 36;

    private static final int BURST = 54;

    private WaitingAtRemovalCase() {}

    public static void main(String[] arguments) {
        Case.run(arguments, "6s", 2, WaitingAtRemovalCase::play);
    }

    private static int play(Deployment deployment, boolean trouble) throws Exception {
        Recorder record = deployment.record;
        deployment.machine(1, "scheduler");
        deployment.machine(2, "recorder");
        Upstream leaving = deployment.upstream(1, "i-1", SLOTS);
        deployment.upstream(2, "i-2", SLOTS);
        deployment.register(1, "i-1", SLOTS, "ready");
        deployment.register(2, "i-2", SLOTS, "ready");
        deployment.store.put(
                "op/config",
                Deployment.configuration(
                        7,
                        Deployment.route("r-push", "/push/", "unsafe", "4000ms", "scheduler"),
                        Deployment.service("scheduler"),
                        Deployment.service("recorder")));
        deployment.start(1);
        deployment.start(2);
        if (!deployment.awaitReady(1, 2)) {
            return Case.NOT_RUN;
        }
        Thread.sleep(STABLE + 1_000);

        AtomicInteger answered = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < (trouble ? BURST : USUAL); number++) {
            String id = "a-" + number;
            Thread client = new Thread(() -> {
                int status = new Client(deployment, 2)
                        .send("POST", "/push/" + WORK + "/x", id, DEADLINE, "schedule".getBytes());
                (status == 200 ? answered : failed).incrementAndGet();
            });
            clients.add(client);
            client.start();
        }
        Thread.sleep(60);
        deployment.store.remove("servers/i-1");
        long acknowledged = record.now();
        AtomicInteger late = new AtomicInteger();
        leaving.listener((upstream, request) -> {
            if (record.now() > acknowledged + DRAIN) {
                late.incrementAndGet();
            }
        });
        Thread.sleep(DRAIN + LITTLE_LONGER);
        leaving.close();
        for (Thread client : clients) {
            client.join();
        }
        record.say(
                "DRAIN: %d requests reached the upstream later than %d ms after its entry was gone; %d requests were"
                        + " served, %d were not",
                late.get(), DRAIN, answered.get(), failed.get());
        return late.get() > 0 ? Case.BROKEN : Case.HELD;
    }
}
