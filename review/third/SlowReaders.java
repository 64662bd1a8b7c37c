package review.third;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Clients send safe requests ahead on kept connections and read the answers slowly, but in time, until the memory for
 * answers that wait for their clients is in use.
 */
final class SlowReaders {
    private static final int COULD_NOT_RUN = 2;
    /** As in the site file. */
    private static final int SLOTS = 152;

    /** Not every wave breaks the rule; the first that does is the last one. */
    private static final int WAVES = 10;

    private static final int MACHINES = 2;
    /** The clients of one machine. */
    private static final int CLIENTS = 28;
    /** The number of requests that a client sends ahead. */
    private static final int AHEAD = 16;

    private static final int ANSWER_BYTES = 500_000;
    private static final int DEADLINE_MS = 8_000;
    /** The work of a client's first request, and how much longer each further one takes. */
    private static final int WORK_MS = 200;

    private static final int WORK_STEP_MS = 60;
    /** The time in which a slow client reads all its answers. */
    private static final int READING_MS = 5_000;

    private static final int RECEIVE_BUFFER = 16 * 1024;
    private static final int PIECE = 16 * 1024;
    private static final int MOST_CLOSED = 3;
    /** No wave begins later than this after the start of the case. */
    private static final double LAST_WAVE_SECONDS = 100;

    private static final int EXCERPT = 140;

    /** The rule that a run checks. */
    private enum Rule {
        MIXED,
        LOST;

        boolean isBroken(Tally tally) {
            return this == MIXED ? !tally.mixed.isEmpty() : tally.closedConnections > MOST_CLOSED;
        }
    }

    /** What was found, over all clients. Read when no client runs. */
    private static final class Tally {
        private final Map<String, Integer> outcomes = new TreeMap<>();
        private final List<String> mixed = Collections.synchronizedList(new ArrayList<>());
        private int lostRequests;
        private int closedConnections;

        synchronized void count(String outcome) {
            outcomes.merge(outcome, 1, Integer::sum);
        }

        /** Counts requests that were run and got no whole answer, all on one connection. */
        synchronized void lost(int requests) {
            lostRequests += requests;
            closedConnections += requests > 0 ? 1 : 0;
        }
    }

    private SlowReaders() {}

    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (CaseRecord record = new CaseRecord(Path.of(arguments[0]));
                Deployment deployment = new Deployment(record)) {
            status = play(record, deployment, trouble, Rule.valueOf(arguments[1]));
        } catch (Exception e) {
            e.printStackTrace();
            status = COULD_NOT_RUN;
        }
        System.exit(status);
    }

    private static int play(CaseRecord record, Deployment deployment, boolean trouble, Rule rule) throws Exception {
        deployment.slots = SLOTS;
        deployment.store.put("op/config", configuration());
        deployment.add("erie-a", "playlist");
        deployment.add("huron-a", "recorder");
        if (!deployment.start()) {
            return COULD_NOT_RUN;
        }
        Thread.sleep(6_000);
        Tally tally = new Tally();
        for (int wave = 0; wave < WAVES && !rule.isBroken(tally); wave++) {
            if (record.seconds() > LAST_WAVE_SECONDS) {
                break;
            }
            List<Thread> threads = new ArrayList<>();
            for (int client = 0; client < MACHINES * CLIENTS; client++) {
                Deployment.Machine entry = deployment.machines.get(client % MACHINES);
                String name = "w" + wave + "c" + client;
                threads.add(Deployment.thread(name, () -> browse(record, deployment, entry, tally, name, trouble)));
            }
            for (Thread thread : threads) {
                thread.join();
            }
            Thread.sleep(1_000);
        }
        int writesFailed = 0;
        for (Deployment.Machine machine : deployment.machines) {
            writesFailed += deployment.log(machine, "could not be written").size();
        }
        record.say("requests: " + tally.outcomes + "; log lines on responses that could not be written: "
                + writesFailed);
        record.say("MIXED: " + tally.mixed.size() + " connections got bytes that are not the answer; LOST: "
                + tally.closedConnections + " connections were closed, with " + tally.lostRequests
                + " requests that were run and have no whole answer");
        tally.mixed.forEach(record::line);
        return rule.isBroken(tally) ? 1 : 0;
    }

    /** Each machine's clients browse at the service of their own machine. */
    private static String configuration() {
        return Deployment.configuration(7, Map.of("recorder", "recorder", "playlist", "playlist"))
                .replace("\"timeout\":\"800ms\"", "\"timeout\":\"4000ms\"");
    }

    private static void browse(
            CaseRecord record,
            Deployment deployment,
            Deployment.Machine entry,
            Tally tally,
            String name,
            boolean trouble) {
        List<String> ids = new ArrayList<>();
        long leaveAt = System.nanoTime() + DEADLINE_MS * 1_000_000L;
        int answered = 0;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER);
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(entry.ip, deployment.callerPort), 1_000);
            socket.setSoTimeout(DEADLINE_MS);
            StringBuilder requests = new StringBuilder();
            for (int number = 0; number < AHEAD; number++) {
                String id = name + "x" + number;
                ids.add(id);
                requests.append("GET /" + entry.service + "/" + id + "?work=" + (WORK_MS + number * WORK_STEP_MS)
                        + "&bytes=" + ANSWER_BYTES + " HTTP/1.1\r\nHost: bells.example\r\nRequest-Id: " + id
                        + "\r\nDeadline-Ms: " + DEADLINE_MS + "\r\n\r\n");
            }
            socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream(), PIECE);
            long bytesPerSecond = trouble ? 1_000L * AHEAD * ANSWER_BYTES / READING_MS : Long.MAX_VALUE;
            for (; answered < AHEAD; answered++) {
                if (!readAnswer(record, in, ids.get(answered), tally, bytesPerSecond, leaveAt)) {
                    return;
                }
            }
        } catch (IOException e) {
            record.line(name + " has no whole answer from " + ids.get(answered) + " on: " + e);
            boolean left = System.nanoTime() > leaveAt;
            int lost = 0;
            for (String id : ids.subList(answered, ids.size())) {
                boolean ran = deployment.machines.stream().anyMatch(machine -> machine.upstream.runs(id) > 0);
                lost += ran && !left ? 1 : 0;
                tally.count(left ? "not read until the deadline" : ran ? "run, and no whole answer" : "no answer");
            }
            tally.lost(lost);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads the answer to a request; returns false if what arrives is not that answer. */
    private static boolean readAnswer(
            CaseRecord record, InputStream in, String id, Tally tally, long bytesPerSecond, long leaveAt)
            throws IOException, InterruptedException {
        List<String> head = Http.head(in);
        if (head.isEmpty()) {
            throw new EOFException("the connection was closed");
        }
        Map<String, String> fields;
        int status;
        try {
            fields = Http.fields(head);
            status = Integer.parseInt(head.get(0).split(" ")[1]);
        } catch (RuntimeException e) {
            tally.mixed.add("in place of the answer to " + id + ": " + excerpt(head.get(0)));
            return false;
        }
        int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
        byte[] body = new byte[length];
        for (int read = 0; read < length; ) {
            int count = in.read(body, read, Math.min(PIECE, length - read));
            if (count < 0 || System.nanoTime() > leaveAt) {
                throw new EOFException((count < 0 ? "closed" : "left") + " after " + read + " of " + length + " bytes");
            }
            read += count;
            Thread.sleep(1_000L * count / bytesPerSecond);
        }
        if (!fields.getOrDefault("request-id", id).equals(id)) {
            tally.mixed.add("in place of the answer to " + id + ": that to " + fields.get("request-id"));
            return false;
        }
        if (status != 200) {
            tally.count(String.valueOf(status));
            return true;
        }
        int differs = Arrays.mismatch(body, Http.body(id, ANSWER_BYTES));
        if (differs >= 0 || !fields.containsKey("response-signature")) {
            String found = differs < 0
                    ? "no signature"
                    : new String(body, differs, Math.min(2 * EXCERPT, length - differs), StandardCharsets.ISO_8859_1);
            tally.mixed.add("the answer 200 to " + id + " has other bytes from " + differs + " of " + length + " on: "
                    + excerpt(found));
            return false;
        }
        tally.count("200");
        record.line("answer 200 to " + id);
        return true;
    }

    private static String excerpt(String text) {
        String oneLine = text.replaceAll("\\s+", " ");
        return oneLine.substring(0, Math.min(EXCERPT, oneLine.length()));
    }
}
