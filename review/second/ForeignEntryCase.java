package secondreview;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer registers a service of its own, at an IPv6 address. An upstream leaves, and later all processes are
 * killed and start again. Confined to the main thread, except for the clients.
 */
final class ForeignEntryCase {
    private static final int SLOTS = 20;
    private static final int DRAIN = 2_500;
    private static final int STABLE = 3_000;
    private static final int RECOVER = 15_000;
    private static final int DEADLINE = 3_000;
    private static final int REQUESTS = 40;

    private ForeignEntryCase() {}

    public static void main(String[] arguments) {
        Case.run(arguments, "6s", 3, ForeignEntryCase::play);
    }

    private static int play(Deployment deployment, boolean trouble) throws Exception {
        Upstream[] upstreams = new Upstream[4];
        for (int machine = 1; machine <= 3; machine++) {
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
        for (int machine = 1; machine <= 3; machine++) {
            deployment.start(machine);
        }
        if (!deployment.awaitReady(1, 2, 3)) {
            return Case.NOT_RUN;
        }
        Thread.sleep(STABLE + 1_000);
        if (trouble) {
            deployment.store.put(
                    "servers/db-1", deployment.registration("metrics-db", "0:0:0:0:0:0:0:1:5432", 4, "ready"));
        }
        Thread.sleep(1_000);
        int before = served(deployment, "a");
        scaleIn(deployment, upstreams[1]);
        int after = restart(deployment);
        deployment.record.say(
                "RECOVER: %d of %d requests were served before, %d of %d later than %d ms after the processes are back",
                before, REQUESTS, after, REQUESTS, RECOVER);
        deployment.record.say("node 2 has logged %d rejected VM lists", deployment.logLines(2, "rejected a VM list"));
        if (before < REQUESTS / 4) {
            return Case.NOT_RUN;
        }
        return after < REQUESTS / 4 ? Case.BROKEN : Case.HELD;
    }

    /**
     * Planned work: the first upstream reports that it is draining, serves for a few seconds longer than `drain`, and
     * leaves with its machine. Counts the requests that it gets too late, which does not decide the result.
     */
    private static void scaleIn(Deployment deployment, Upstream leaving) throws Exception {
        Recorder record = deployment.record;
        deployment.register(1, "i-1", SLOTS, "draining");
        long acknowledged = record.now();
        AtomicInteger late = new AtomicInteger();
        leaving.listener((upstream, request) -> {
            if (record.now() > acknowledged + DRAIN) {
                late.incrementAndGet();
            }
        });
        AtomicBoolean stop = new AtomicBoolean();
        Thread[] clients = new Thread[2];
        for (int index = 0; index < clients.length; index++) {
            int machine = 2 + index;
            clients[index] = new Thread(() -> {
                for (int number = 0; !stop.get(); number++) {
                    send(deployment, machine, "b" + machine + "-" + number);
                }
            });
            clients[index].start();
        }
        Thread.sleep(DRAIN + 4_000);
        leaving.close();
        deployment.store.remove("servers/i-1");
        Thread.sleep(1_000);
        stop.set(true);
        for (Thread client : clients) {
            client.join();
        }
        deployment.stop(1);
        record.say(
                "DRAIN: %d requests reached the draining upstream later than %d ms after the acknowledgement",
                late.get(), DRAIN);
    }

    /** Kills all processes and starts them again; returns how many requests are served once they should have recovered. */
    private static int restart(Deployment deployment) throws Exception {
        deployment.kill(2);
        deployment.kill(3);
        Thread.sleep(1_000);
        deployment.start(2);
        deployment.start(3);
        // A process needs about a second to start.
        Thread.sleep(RECOVER + 3_000);
        return served(deployment, "c");
    }

    private static int served(Deployment deployment, String prefix) throws InterruptedException {
        int served = 0;
        for (int number = 0; number < REQUESTS; number++) {
            served += send(deployment, 2 + number % 2, prefix + "-" + number) == 200 ? 1 : 0;
            Thread.sleep(50);
        }
        return served;
    }

    private static int send(Deployment deployment, int machine, String id) {
        return new Client(deployment, machine).send("POST", "/push/100/x", id, DEADLINE, "schedule".getBytes());
    }
}
