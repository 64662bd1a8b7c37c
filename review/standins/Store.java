package review.standins;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** The platform's metadata store: ranges, watches and single keys. Thread-safe. */
public final class Store implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 100;
    private long silences;

    private record Item(String value, long revision, long created) {}

    private record Event(String key, Item item, long revision) {}

    public Store(String ip, int port) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, port), 200);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    public synchronized void put(String key, String value) {
        revision++;
        Item old = items.get(key);
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        Item item = new Item(encoded, revision, old == null ? revision : old.created());
        items.put(key, item);
        events.add(new Event(key, item, revision));
        notifyAll();
    }

    public synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            events.add(new Event(key, null, revision));
            notifyAll();
        }
    }

    /** Silences the open connections: pending watches get no answer any more, and their connections stay open. */
    public synchronized void silenceConnections() {
        silences++;
        notifyAll();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        int status = 200;
        String body;
        switch (exchange.getRequestURI().getPath()) {
            case "/api/kv-range" -> body = range(query.get("prefix"), query.getOrDefault("after", ""));
            case "/api/kv-watch" -> body = watch(
                    query.get("prefix"),
                    Long.parseLong(query.get("after")),
                    Long.parseLong(query.getOrDefault("waitMs", "0")));
            case "/api/kv-key" -> {
                body = key(query.get("key"));
                status = body.isEmpty() ? 404 : 200;
            }
            default -> {
                body = "";
                status = 404;
            }
        }
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized String range(String prefix, String after) {
        List<String> found = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Item> entry : items.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (!after.isEmpty() && entry.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (found.size() == PAGE_ITEMS) {
                more = true;
                break;
            }
            found.add(json(entry.getKey(), entry.getValue()));
        }
        return "{\"items\":[" + String.join(",", found) + "],\"hasMore\":" + more + ",\"storeRevision\":" + revision
                + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMilliseconds) {
        long until = System.nanoTime() + waitMilliseconds * 1_000_000;
        long silencesAtStart = silences;
        while (true) {
            if (silences > silencesAtStart) {
                stayAwayForever();
            }
            List<String> found = new ArrayList<>();
            for (Event event : events) {
                if (event.revision() > after && event.key().startsWith(prefix)) {
                    found.add(
                            event.item() == null
                                    ? "{\"key\":\"" + event.key() + "\",\"revision\":" + event.revision()
                                            + ",\"deleted\":true}"
                                    : json(event.key(), event.item()));
                }
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", found) + "],\"storeRevision\":" + revision + "}";
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return "{\"events\":[],\"storeRevision\":" + revision + "}";
            }
        }
    }

    /** Holds the connection of this thread until the store closes. */
    private void stayAwayForever() {
        try {
            while (true) {
                wait();
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException("the store closes", e);
        }
    }

    private synchronized String key(String key) {
        Item item = items.get(key);
        return item == null ? "" : json(key, item);
    }

    private static String json(String key, Item item) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + item.value() + "\",\"revision\":" + item.revision()
                + ",\"created\":" + item.created() + ",\"lease\":0}";
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> values = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int equals = pair.indexOf('=');
            values.put(
                    pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return values;
    }
}
