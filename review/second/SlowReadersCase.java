package secondreview;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients send requests ahead and read the answers slowly, but within their deadlines. Confined to the main thread,
 * except for the clients.
 */
final class SlowReadersCase {
    private static final int SLOTS = 152;
    private static final int STABLE = 3_000;
    private static final int CLIENTS = 28;
    private static final int AHEAD = 16;
    private static final int ANSWER_BYTES = 500_000;
    private static final int DEADLINE = 8_000;

    /** The work of the first request of a client, and how much longer each further one takes, in milliseconds. */
    private static final int WORK = 200;

    private static final int WORK_STEP = 60;
    /** All answers of a client are read in 5 s. */
    private static final long SLOWLY = (long) AHEAD * ANSWER_BYTES / 5;

    private static final long AT_ONCE = 1_000_000_000L;

    private SlowReadersCase() {}

    public static void main(String[] arguments) {
        Case.run(arguments, "6s", 2, SlowReadersCase::play);
    }

    private static int play(Deployment deployment, boolean trouble) throws Exception {
        Recorder record = deployment.record;
        deployment.machine(1, "catalogue");
        deployment.machine(2, "tillhouse");
        deployment.upstream(1, "i-1", SLOTS);
        deployment.upstream(2, "i-2", SLOTS);
        deployment.register(1, "i-1", SLOTS, "ready");
        deployment.register(2, "i-2", SLOTS, "ready");
        deployment.store.put(
                "op/config",
                Deployment.configuration(
                        7,
                        Deployment.route("r-browse", "/browse/", "safe", "4000ms", "catalogue"),
                        Deployment.service("catalogue"),
                        Deployment.service("tillhouse")));
        deployment.start(1);
        deployment.start(2);
        if (!deployment.awaitReady(1, 2)) {
            return Case.NOT_RUN;
        }
        Thread.sleep(STABLE + 1_000);

        List<SlowReader> readers = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            String name = "c" + number;
            SlowReader reader = new SlowReader(record, deployment.outbound(1), DEADLINE, trouble ? SLOWLY : AT_ONCE);
            Thread thread = new Thread(() -> play(reader, name));
            readers.add(reader);
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        int complete = 0;
        int wrong = 0;
        int refused = 0;
        int unanswered = 0;
        for (SlowReader reader : readers) {
            complete += reader.complete();
            wrong += reader.wrong();
            refused += reader.refused();
            unanswered += reader.unanswered().size();
        }
        record.say(
                "MIXED: %d answers 200 had other bytes in their body than the upstream's; %d were right, %d requests had"
                        + " another status, %d no whole answer",
                wrong, complete, refused, unanswered);
        return wrong > 0 ? Case.BROKEN : Case.HELD;
    }

    private static void play(SlowReader reader, String name) {
        try {
            for (int number = 0; number < AHEAD; number++) {
                int work = WORK + number * WORK_STEP;
                reader.send("/browse/" + work + "/x/" + ANSWER_BYTES, name + "x" + number);
            }
        } catch (IOException closed) {
            // The answers that came before are still read.
        }
        reader.readAll();
    }
}
