package secondreview;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A stand-in for the platform's store as PROTOCOL.md describes it: reads, pages and watches.
 *
 * <p>Each machine reaches it at an address of its own, so that a case can disturb the path of one machine. Thread-safe.
 */
final class Store implements AutoCloseable {
    private static final int PAGE = 500;
    private static final int ANSWER_MILLISECONDS = 4;
    private static final int BACKLOG = 8;

    private final Recorder record;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final List<Acceptor> acceptors = new ArrayList<>();
    private final Map<String, Acceptor> byMachine = new HashMap<>();
    private final Map<String, Integer> waiting = new HashMap<>();
    private final Set<String> partitioned = new HashSet<>();
    private long revision = 100;

    private record Item(String key, byte[] value, long revision, long created) {
        String json() {
            String start = "{\"key\":\"" + key + "\",";
            return value == null
                    ? start + "\"revision\":" + revision + ",\"deleted\":true}"
                    : start + "\"value\":\"" + Base64.getEncoder().encodeToString(value) + "\",\"revision\":" + revision
                            + ",\"created\":" + created + ",\"lease\":0}";
        }
    }

    Store(Recorder record) {
        this.record = record;
    }

    /** Serves a machine at an address. */
    void serve(String machine, String ip, int port) throws IOException {
        Acceptor acceptor = new Acceptor(ip, port, BACKLOG, socket -> handle(machine, socket));
        acceptors.add(acceptor);
        byMachine.put(machine, acceptor);
    }

    /** Writes an item; the return is the acknowledgement. */
    synchronized void put(String key, String value) {
        putBytes(key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void putBytes(String key, byte[] value) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.created());
        items.put(key, item);
        history.add(item);
        record.line("store: wrote %s at revision %d", key, revision);
        notifyAll();
    }

    synchronized void remove(String key) {
        revision++;
        items.remove(key);
        history.add(new Item(key, null, revision, 0));
        record.line("store: removed %s at revision %d", key, revision);
        notifyAll();
    }

    /** Returns the machines that wait for changes, each with the number of its watches. */
    synchronized Map<String, Integer> waiting() {
        return new TreeMap<>(waiting);
    }

    /** Partitions a machine from the store without notice: its connections fall silent, and new ones hang. */
    void partition(String machine) {
        synchronized (this) {
            partitioned.add(machine);
        }
        byMachine.get(machine).hangNewConnections();
        record.line("store: partitioned from %s", machine);
    }

    private synchronized void awaitPath(String machine) throws InterruptedException {
        while (partitioned.contains(machine)) {
            wait();
        }
    }

    /** Closes the connections of a machine, among them its waiting watches. */
    void cutConnections(String machine) {
        record.line("store: cut the connections of %s", machine);
        byMachine.get(machine).closeConnections();
    }

    private void handle(String machine, Socket socket) throws IOException, InterruptedException {
        for (Message request = Message.read(socket.getInputStream());
                request != null;
                request = Message.read(socket.getInputStream())) {
            String[] parts = request.target().split("\\?", 2);
            Map<String, String> query = query(parts.length > 1 ? parts[1] : "");
            Thread.sleep(ANSWER_MILLISECONDS);
            String body =
                    switch (parts[0]) {
                        case "/api/kv-range" -> range(query);
                        case "/api/kv-watch" -> watch(machine, query);
                        case "/api/kv-key" -> key(query);
                        default -> "";
                    };
            awaitPath(machine);
            OutputStream out = socket.getOutputStream();
            Message.write(
                    out,
                    body.isEmpty() ? "HTTP/1.1 404 Not Found" : "HTTP/1.1 200 OK",
                    Map.of("Content-Type", "application/json"),
                    body.getBytes(StandardCharsets.UTF_8));
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
        }
        return query;
    }

    private synchronized String range(Map<String, String> query) {
        List<String> found = new ArrayList<>();
        boolean hasMore = false;
        for (Item item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
            if (!item.key().startsWith(query.get("prefix"))) {
                continue;
            }
            if (found.size() == PAGE) {
                hasMore = true;
                break;
            }
            found.add(item.json());
        }
        return "{\"items\":[" + String.join(",", found) + "],\"hasMore\":" + hasMore + ",\"storeRevision\":" + revision
                + "}";
    }

    private synchronized String key(Map<String, String> query) {
        Item item = items.get(query.get("key"));
        return item == null ? "" : item.json().replaceFirst("}$", ",\"storeRevision\":" + revision + "}");
    }

    private synchronized String watch(String machine, Map<String, String> query) throws InterruptedException {
        waiting.merge(machine, 1, Integer::sum);
        try {
            return changes(query);
        } finally {
            waiting.merge(machine, -1, Integer::sum);
        }
    }

    private synchronized String changes(Map<String, String> query) throws InterruptedException {
        long end = System.nanoTime() / 1_000_000 + Long.parseLong(query.get("waitMs"));
        long after = Long.parseLong(query.get("after"));
        while (true) {
            List<String> events = new ArrayList<>();
            for (Item event : history) {
                if (event.revision() > after && event.key().startsWith(query.get("prefix"))) {
                    events.add(event.json());
                }
            }
            long left = end - System.nanoTime() / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"storeRevision\":" + revision + "}";
            }
            wait(left);
        }
    }

    @Override
    public void close() throws IOException {
        for (Acceptor acceptor : acceptors) {
            acceptor.close();
        }
    }
}
