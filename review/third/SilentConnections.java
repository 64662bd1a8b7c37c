package review.third;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open connections between the machines go silent, while new ones work. Seconds later a
 * configuration adds a route and drops one.
 */
final class SilentConnections {
    private static final int COULD_NOT_RUN = 2;
    private static final double STABLE = 3;
    private static final double CONFIG_APPLY = 2.5;
    private static final int CHANGES = 4;
    /** The requests that each node gets on an added route, two a second; as many on a dropped one. */
    private static final int PROBES = 12;

    private record Sent(String id, String machine, double at, Client.Answer answer) {}

    private SilentConnections() {}

    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (CaseRecord record = new CaseRecord(Path.of(arguments[0]));
                Deployment deployment = new Deployment(record)) {
            status = play(record, deployment, trouble);
        } catch (Exception e) {
            e.printStackTrace();
            status = COULD_NOT_RUN;
        }
        System.exit(status);
    }

    private static int play(CaseRecord record, Deployment deployment, boolean trouble) throws Exception {
        deployment.store.put("op/config", configuration(0));
        for (String zone : List.of("erie-a", "huron-a", "superior-a", "erie-b")) {
            for (String service : List.of("playlist", "recorder", "scheduler", "archive")) {
                deployment.add(zone, service);
            }
        }
        if (!deployment.start()) {
            return COULD_NOT_RUN;
        }
        Thread.sleep(8_000);
        ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();
        AtomicBoolean end = new AtomicBoolean();
        AtomicInteger number = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (Deployment.Machine machine : deployment.machines) {
            if (machine.service.equals("recorder") || machine.service.equals("scheduler")) {
                for (int client = 0; client < 2; client++) {
                    threads.add(Deployment.thread(
                            "browse", () -> browse(record, deployment, machine, sent, number, end)));
                }
            }
        }
        Thread.sleep(5_000);
        if (trouble) {
            record.say("open connections between machines that go silent: " + deployment.relay.silenceAll());
        }
        Thread.sleep((long) (STABLE * 1_000) + 5_000);
        int late = 0;
        for (int change = 1; change <= CHANGES; change++) {
            deployment.store.put("op/config", configuration(change));
            double acknowledged = record.seconds();
            record.say("acknowledged configuration " + (7 + change) + ", which adds the route of /new-" + change
                    + "/ and drops that of /old-" + change + "/");
            Thread.sleep((long) (CONFIG_APPLY * 1_000));
            late += probe(record, deployment, change, acknowledged);
        }
        end.set(true);
        for (Thread thread : threads) {
            thread.join(10_000);
        }
        for (Deployment.Machine machine : deployment.machines) {
            for (String line : deployment.log(machine, "accepted configuration")) {
                record.line(machine.ip + " " + line.replaceAll(".*timestamp\":\"([^\"]*)\".*(number=[0-9]*).*\\] (from [^\"]*)\".*", "$1 accepted $2 $3"));
            }
        }
        long served = sent.stream().filter(one -> one.answer.status() == 200).count();
        record.say("requests for browsing sent " + sent.size() + ", served " + served
                + "; requests handled by an older configuration after the bound: " + late);
        return late > 0 ? 1 : 0;
    }

    /** The configuration after some changes, each of which adds a route and drops another one. */
    private static String configuration(int changes) {
        Map<String, String> routes = new LinkedHashMap<>();
        for (int change = 1; change <= CHANGES; change++) {
            if (change <= changes) {
                routes.put("new-" + change, "playlist");
            } else {
                routes.put("old-" + change, "recorder");
            }
        }
        return Deployment.configuration(7 + changes, routes);
    }

    /** Sends each node requests on the routes of a change, and counts those that an older version handled. */
    private static int probe(CaseRecord record, Deployment deployment, int change, double acknowledged)
            throws InterruptedException {
        AtomicInteger denied = new AtomicInteger();
        AtomicInteger dropped = new AtomicInteger();
        Map<String, String> machines = new ConcurrentSkipListMap<>();
        List<Thread> threads = new ArrayList<>();
        for (Deployment.Machine machine : deployment.machines) {
            threads.add(Deployment.thread("probe", () -> {
                try (Client client = new Client(machine.ip, deployment.callerPort)) {
                    for (int count = 0; count < 2 * PROBES; count++) {
                        String route = (count % 2 == 0 ? "new-" : "old-") + change;
                        String id = route + "-" + machine.ip + "-" + count;
                        double after = record.seconds() - acknowledged;
                        Client.Answer answer = client.send(
                                "GET", "bells.example", "/" + route + "/" + id + "?work=20&bytes=500", id, 5_000,
                                new byte[0]);
                        record.line("answer to " + id + ", sent " + after + " s after the acknowledgement: " + answer);
                        if (count % 2 == 0 && answer.status() == 404) {
                            denied.incrementAndGet();
                            machines.put(machine.ip, String.format("until %.1f s", after));
                        } else if (count % 2 == 1 && ran(deployment, id)) {
                            dropped.incrementAndGet();
                            machines.put(machine.ip, String.format("until %.1f s", after));
                        }
                        Thread.sleep(250);
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        if (!machines.isEmpty()) {
            record.say("CONFIG: " + denied + " requests on the new route answered 404, " + dropped
                    + " run on the dropped route, by " + machines);
        }
        return denied.get() + dropped.get();
    }

    private static boolean ran(Deployment deployment, String id) {
        return deployment.machines.stream().anyMatch(machine -> machine.upstream.runs(id) > 0);
    }

    private static void browse(
            CaseRecord record,
            Deployment deployment,
            Deployment.Machine machine,
            ConcurrentLinkedQueue<Sent> sent,
            AtomicInteger number,
            AtomicBoolean end) {
        Client client = new Client(machine.ip, deployment.callerPort);
        try {
            while (!end.get()) {
                String id = "b" + number.incrementAndGet();
                double at = record.seconds();
                Client.Answer answer = client.send(
                        "GET", "bells.example", "/browse/" + id + "?work=60&bytes=2000", id, 5_000, new byte[0]);
                record.line("answer to " + id + " at " + machine.ip + ", sent " + at + ": " + answer);
                sent.add(new Sent(id, machine.ip, at, answer));
                Thread.sleep(100);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        client.close();
    }
}
