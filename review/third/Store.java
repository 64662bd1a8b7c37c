package review.third;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
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

/**
 * The platform's metadata store, as far as nodes read it: lists and watches. Thread-safe.
 */
final class Store implements AutoCloseable {
    private record Item(String key, String value, long revision, boolean deleted) {}

    private final Map<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "store");
        thread.setDaemon(true);
        return thread;
    });
    private long revision = 100;

    void listen(String address, int port) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(address, port), 200);
        server.setExecutor(threads);
        server.createContext("/", this::answer);
        server.start();
        servers.add(server);
    }

    synchronized long put(String key, String value) {
        revision++;
        Item item = new Item(key, value, revision, false);
        items.put(key, item);
        history.add(item);
        notifyAll();
        return revision;
    }

    synchronized void delete(String key) {
        revision++;
        items.remove(key);
        history.add(new Item(key, "", revision, true));
        notifyAll();
    }

    private void answer(HttpExchange exchange) throws IOException {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String part : (raw == null ? "" : raw).split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        String path = exchange.getRequestURI().getPath();
        try {
            String body = path.equals("/api/kv-watch") ? watch(query) : range(query);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(200, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private synchronized String range(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        List<String> found = new ArrayList<>();
        for (Item item : items.values()) {
            if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
                found.add(json(item));
            }
        }
        return "{\"items\":[" + String.join(",", found) + "],\"hasMore\":false,\"storeRevision\":" + revision + "}";
    }

    private synchronized String watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000L;
        while (true) {
            List<String> events = new ArrayList<>();
            for (Item item : history) {
                if (item.revision() > after && item.key().startsWith(prefix)) {
                    events.add(json(item));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"storeRevision\":" + revision + "}";
            }
            wait(left);
        }
    }

    private static String json(Item item) {
        if (item.deleted()) {
            return "{\"key\":\"" + item.key() + "\",\"revision\":" + item.revision() + ",\"deleted\":true}";
        }
        String value = Base64.getEncoder().encodeToString(item.value().getBytes(StandardCharsets.UTF_8));
        return "{\"key\":\"" + item.key() + "\",\"value\":\"" + value + "\",\"revision\":" + item.revision()
                + ",\"created\":" + item.revision() + ",\"lease\":0}";
    }

    @Override
    public void close() {
        servers.forEach(server -> server.stop(0));
        threads.shutdownNow();
    }
}
