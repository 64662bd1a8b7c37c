package review.cases;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import review.standins.Client;
import review.standins.Fleet;
import review.standins.Record;
import review.standins.Threads;
import review.standins.Upstream;

/** A node is stopped as planned while clients that pipeline safe requests read their answers slowly. */
public final class PipeliningReaderAtStop {
    private static final String HOST = "finish.example";
    private static final String SERVICE = "catalogue";
    private static final int ANSWER_BYTES = 30_000;
    private static final int SLOTS = 64;
    private static final int CLIENTS = 6;
    /** The requests that a client has sent and not read the answer of. */
    private static final int OUTSTANDING = 8;

    private static final long BYTES_PER_SECOND = 150_000;
    private static final int RECEIVE_BUFFER = 32 * 1024;
    private static final long DEADLINE_MILLISECONDS = 6_000;
    private static final long BEFORE_SIGNAL_MILLISECONDS = 3_000;
    private static final long LENGTH_MILLISECONDS = 9_000;

    private final Record record;
    private final Fleet fleet;
    private final AtomicInteger nextId = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger notPassedOn = new AtomicInteger();

    private PipeliningReaderAtStop(Record record, Fleet fleet) {
        this.record = record;
        this.fleet = fleet;
    }

    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Fleet fleet = new Fleet(record)) {
            status = new PipeliningReaderAtStop(record, fleet).run(trouble);
            record.report("exit %d", status);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private int run(boolean trouble) throws Exception {
        fleet.store().put("op/config", Fleet.configuration("0000000c", HOST, "/f/", "safe", "6000ms", SERVICE));
        for (int index = 0; index < 2; index++) {
            Fleet.Machine machine = fleet.addMachine(SERVICE);
            machine.upstream(new Upstream("i-" + index, machine.ip(), machine.appPort(), SLOTS, record, request -> {
                Thread.sleep(100);
                return ANSWER_BYTES;
            }));
            machine.register();
            machine.startNode();
        }
        if (!fleet.awaitReady()) {
            record.report("the nodes did not start");
            return 2;
        }
        Fleet.Machine stopped = fleet.machines().get(0);
        long end = System.nanoTime() + LENGTH_MILLISECONDS * 1_000_000;
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            clients.add(Threads.start("client", () -> pipeline(stopped, end)));
        }
        Threads.sleep(BEFORE_SIGNAL_MILLISECONDS);
        if (trouble) {
            stopped.terminateNode();
        }
        for (Thread client : clients) {
            client.join();
        }
        if (trouble) {
            record.line("the node has ended: %s", stopped.awaitNodeEnd(10_000));
        }
        record.report(
                "%d requests answered; %d had run, were within their deadline and got no complete answer; "
                        + "%d were not passed on",
                answered.get(), lost.get(), notPassedOn.get());
        if (answered.get() == 0) {
            return 2;
        }
        return lost.get() > 0 ? 1 : 0;
    }

    /** Keeps a few requests outstanding on one connection until it ends or the time is over. */
    private void pipeline(Fleet.Machine machine, long end) {
        Deque<String> outstanding = new ArrayDeque<>();
        Deque<Long> sentAt = new ArrayDeque<>();
        try (Client client = new Client(machine.ip(), machine.outboundPort(), RECEIVE_BUFFER)) {
            boolean closing = false;
            while (true) {
                while (!closing && outstanding.size() < OUTSTANDING && System.nanoTime() < end) {
                    String id = "r" + nextId.incrementAndGet();
                    outstanding.add(id);
                    sentAt.add(System.nanoTime());
                    record.line("client: sends %s", id);
                    client.send("GET", HOST, "/f/sample", id, DEADLINE_MILLISECONDS, new byte[0]);
                }
                if (outstanding.isEmpty()) {
                    return;
                }
                Client.Answer answer = client.read(BYTES_PER_SECOND);
                record.line("client: %s: %s", outstanding.peek(), answer);
                if (answer.status() == 0) {
                    break;
                }
                outstanding.remove();
                sentAt.remove();
                answered.incrementAndGet();
                if (answer.head().header("Connection").equalsIgnoreCase("close")) {
                    closing = true;
                    record.line("client: the answer says Connection: close; outstanding: %s", outstanding);
                    break;
                }
            }
        } catch (IOException e) {
            record.line("client: %s", e.getMessage());
        }
        count(outstanding, sentAt);
    }

    /** Counts the requests whose answer the end of their connection has cut off. */
    private void count(Deque<String> outstanding, Deque<Long> sentAt) {
        long now = System.nanoTime();
        while (!outstanding.isEmpty()) {
            String id = outstanding.remove();
            boolean inTime = (now - sentAt.remove()) / 1_000_000 < DEADLINE_MILLISECONDS;
            boolean ran = fleet.machines().stream()
                    .anyMatch(machine -> machine.upstream().ran().contains(id));
            record.line("client: %s ended without an answer; ran: %s; within its deadline: %s", id, ran, inTime);
            if (ran && inTime) {
                lost.incrementAndGet();
            } else {
                notPassedOn.incrementAndGet();
            }
        }
    }
}
