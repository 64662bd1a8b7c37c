package review.cases;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import review.standins.Client;
import review.standins.Fleet;
import review.standins.Record;
import review.standins.Threads;
import review.standins.Upstream;

/** A node is stopped as planned while requests that it has accepted wait in the queue of another node. */
public final class QueuedAtStop {
    private static final String HOST = "shells.example";
    private static final String SERVICE = "shellyard";
    private static final int SLOTS = 14;
    private static final int WORK_MILLISECONDS = 1_100;
    private static final int CLIENTS = 84;
    private static final long DEADLINE_MILLISECONDS = 6_000;
    /** When the first of the requests is sent, after the signal; the others follow 5 ms apart. */
    private static final long FIRST_MILLISECONDS = 600;

    /** The bound {@code lossSlack}. */
    private static final long LOSS_SLACK_MILLISECONDS = 200;

    private final Record record;
    private final Fleet fleet;
    private final AtomicInteger nextId = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger cutAtWork = new AtomicInteger();

    private QueuedAtStop(Record record, Fleet fleet) {
        this.record = record;
        this.fleet = fleet;
    }

    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Fleet fleet = new Fleet(record)) {
            status = new QueuedAtStop(record, fleet).run(trouble);
            record.report("exit %d", status);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private int run(boolean trouble) throws Exception {
        fleet.store().put("op/config", Fleet.configuration("0000000c", HOST, "/s/", "unsafe", "6000ms", SERVICE));
        for (int index = 0; index < 2; index++) {
            Fleet.Machine machine = fleet.addMachine(index == 0 ? "catalogue" : SERVICE);
            machine.upstream(new Upstream("i-" + index, machine.ip(), machine.appPort(), SLOTS, record, request -> {
                Thread.sleep(WORK_MILLISECONDS);
                return 500;
            }));
            machine.register();
            machine.startNode();
        }
        if (!fleet.awaitReady()) {
            record.report("the nodes did not start");
            return 2;
        }
        Fleet.Machine stopped = fleet.machines().get(0);
        Threads.sleep(2_000);
        long signalAt = System.nanoTime();
        if (trouble) {
            stopped.terminateNode();
        }
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            long millisecondsAfterSignal = FIRST_MILLISECONDS + index * 5L;
            clients.add(Threads.start("client", () -> {
                Threads.sleep(millisecondsAfterSignal - (System.nanoTime() - signalAt) / 1_000_000);
                call(stopped);
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        record.report(
                "%d served, %d refused or failed, %d cut while the upstream was at work, %d ended without an answer "
                        + "while they waited, before their deadline",
                served.get(), refused.get(), cutAtWork.get(), lost.get());
        return served.get() == 0 ? 2 : lost.get() > 0 ? 1 : 0;
    }

    /** Sends one request on a connection of its own. */
    private void call(Fleet.Machine machine) {
        String id = "r" + nextId.incrementAndGet();
        record.line("client: sends %s", id);
        long sent = System.nanoTime();
        Client.Answer answer = Client.once(
                machine.ip(), machine.outboundPort(), "POST", HOST, "/s/reserve", id, DEADLINE_MILLISECONDS);
        long after = (System.nanoTime() - sent) / 1_000_000;
        boolean ran = fleet.machines().get(1).upstream().ran().contains(id);
        record.line("client: %s after %d ms: %s; ran: %s", id, after, answer, ran);
        if (answer.success()) {
            served.incrementAndGet();
        } else if (answer.status() != 0) {
            refused.incrementAndGet();
        } else if (!ran && after > LOSS_SLACK_MILLISECONDS && after < DEADLINE_MILLISECONDS) {
            lost.incrementAndGet();
        } else {
            cutAtWork.incrementAndGet();
        }
    }
}
