package review.third;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32;

/**
 * A sound upstream: it reads a whole request, checks the instance that it is meant for, works for a time, and answers
 * with its signature. The query names the work and the size of the answer ({@code ?work=MS&bytes=N}). Thread-safe.
 */
final class Upstream implements AutoCloseable {
    static final int SLOTS = 64;
    private static final int QUEUE = 72;

    private final int places;
    private final CaseRecord record;
    private final String name;
    private final String instance;
    private final ServerSocket listening;
    private final Semaphore slots;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final List<Socket> open = new ArrayList<>();

    Upstream(CaseRecord record, String name, String instance, String address, int port, int places)
            throws IOException {
        this.places = places;
        this.slots = new Semaphore(places, true);
        this.record = record;
        this.name = name;
        this.instance = instance;
        this.listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(new java.net.InetSocketAddress(InetAddress.getByName(address), port), 500);
        Deployment.thread("upstream-" + name, this::accept);
    }

    /** Returns how often a request ran. */
    int runs(String id) {
        return runs.getOrDefault(id, 0);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                synchronized (open) {
                    open.add(socket);
                }
                Deployment.thread("upstream-connection", () -> serve(socket));
            }
        } catch (IOException e) {
            record.line("upstream " + name + " no longer listens");
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            OutputStream out = socket.getOutputStream();
            while (true) {
                List<String> head = Http.head(in);
                if (head.isEmpty()) {
                    return;
                }
                answer(head, in, out);
            }
        } catch (IOException | InterruptedException e) {
            record.line("upstream " + name + " lost a connection: " + e);
        }
    }

    private void answer(List<String> head, InputStream in, OutputStream out) throws IOException, InterruptedException {
        Map<String, String> fields = Http.fields(head);
        String id = fields.getOrDefault("request-id", "");
        long length = Long.parseLong(fields.getOrDefault("content-length", "0"));
        CRC32 sum = new CRC32();
        byte[] buffer = new byte[1 << 16];
        for (long left = length; left > 0; ) {
            int count = in.read(buffer, 0, (int) Math.min(left, buffer.length));
            if (count < 0) {
                throw new IOException("the body of " + id + " ended " + left + " bytes early");
            }
            sum.update(buffer, 0, count);
            left -= count;
        }
        String expected = fields.getOrDefault("expect-instance", instance);
        if (!expected.equals(instance)) {
            respond(out, "421 Misdirected Request", id, "Instance-Id: " + instance + "\r\n", new byte[0]);
            return;
        }
        if (running.get() >= places && waiting.get() >= QUEUE) {
            respond(out, "503 Service Unavailable", id, "Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        waiting.incrementAndGet();
        slots.acquire();
        waiting.decrementAndGet();
        running.incrementAndGet();
        try {
            runs.merge(id, 1, Integer::sum);
            record.line("ran " + id + " at " + name + ", body " + length + " bytes, crc " + sum.getValue()
                    + ", caller-service " + fields.get("caller-service"));
            Thread.sleep(Http.parameter(head.get(0), "work", 50));
        } finally {
            running.decrementAndGet();
            slots.release();
        }
        respond(
                out,
                "200 OK",
                id,
                "Response-Signature: " + instance + "." + id + "\r\n",
                Http.body(id, (int) Http.parameter(head.get(0), "bytes", 2_000)));
    }

    private void respond(OutputStream out, String status, String id, String extra, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + "\r\n" + (id.isEmpty() ? "" : "Request-Id: " + id + "\r\n") + extra
                + "Instance-Load: " + running.get() + "," + waiting.get() + "," + places + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + body.length + "\r\n\r\n";
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        out.write(all);
        out.flush();
    }

    /** Ends like a process that exits: it stops listening and closes its connections. */
    @Override
    public void close() {
        try {
            listening.close();
            synchronized (open) {
                for (Socket socket : open) {
                    socket.close();
                }
            }
        } catch (IOException e) {
            record.line("closing upstream " + name + ": " + e);
        }
    }
}
