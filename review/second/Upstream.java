package secondreview;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for an upstream. A request of the path {@code /x/MS/...} takes MS milliseconds of work, and the answer to
 * one of {@code /x/MS/.../BYTES} has as many bytes. Thread-safe.
 *
 * <p>It runs as many requests at a time as it has slots, queues a few more and rejects the others with {@code
 * Not-Executed}; it stops at the deadline, and answers 421 to a request that expects another instance.
 */
class Upstream implements AutoCloseable {
    private static final byte[] NO_BODY = {};

    final String id;
    private final Recorder record;
    private final Acceptor acceptor;
    private final int slots;
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    private volatile Arrivals arrivals = (upstream, request) -> {};

    /** Is told of each request that the upstream begins to work on. */
    interface Arrivals {
        void began(Upstream upstream, Message request);
    }

    Upstream(Recorder record, String id, String ip, int port, int slots) throws IOException {
        this.record = record;
        this.id = id;
        this.slots = slots;
        this.free = new Semaphore(slots, true);
        this.acceptor = new Acceptor(ip, port, this::handle);
    }

    void listener(Arrivals listener) {
        arrivals = listener;
    }

    private void handle(Socket socket) throws IOException, InterruptedException {
        for (Message request = Message.read(socket.getInputStream());
                request != null;
                request = Message.read(socket.getInputStream())) {
            answer(request, socket.getOutputStream());
        }
    }

    private void answer(Message request, OutputStream out) throws IOException, InterruptedException {
        Map<String, String> headers = new LinkedHashMap<>();
        if (request.target().equals("/health")) {
            headers.put("Instance-Id", id);
            respond(out, "200 OK", headers, NO_BODY);
            return;
        }
        String expected = request.header("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            headers.put("Instance-Id", id);
            respond(out, "421 Misdirected Request", headers, NO_BODY);
            return;
        }
        long left = Long.parseLong(request.header("Deadline-Ms"));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(left);
        if (waiting.incrementAndGet() > slots + slots || !free.tryAcquire(left, TimeUnit.MILLISECONDS)) {
            waiting.decrementAndGet();
            headers.put("Not-Executed", "1");
            respond(out, "503 Service Unavailable", headers, NO_BODY);
            return;
        }
        try {
            run(request, out, headers, end);
        } finally {
            waiting.decrementAndGet();
            free.release();
        }
    }

    private void run(Message request, OutputStream out, Map<String, String> headers, long end)
            throws IOException, InterruptedException {
        String requestId = request.header("Request-Id");
        record.line("upstream %s: runs %s %s %s", id, requestId, request.method(), request.target());
        arrivals.began(this, request);
        long work = Long.parseLong(request.target().split("/")[2]);
        long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
        Thread.sleep(Math.max(0, Math.min(work, left)));
        headers.put("Request-Id", requestId);
        headers.put("Response-Signature", "s-" + requestId);
        headers.put("Keep-Alive", "timeout=10");
        headers.put("Instance-Load", slots - free.availablePermits() + ",0," + slots + ",100");
        record.line("upstream %s: answers %s", id, requestId);
        respond(out, work > left ? "504 Gateway Timeout" : "200 OK", headers, body(request));
    }

    /**
     * Returns the body of the answer to a request: the id of the request, repeated until the body has the size that the
     * path states, or once.
     */
    static byte[] body(Message request) {
        String text = "body of " + request.header("Request-Id") + "\n";
        String[] parts = request.target().split("/");
        int size = parts.length > 4 ? Integer.parseInt(parts[4]) : text.length();
        byte[] body = new byte[size];
        for (int index = 0; index < size; index++) {
            body[index] = (byte) text.charAt(index % text.length());
        }
        return body;
    }

    private static void respond(OutputStream out, String status, Map<String, String> headers, byte[] body)
            throws IOException {
        Message.write(out, "HTTP/1.1 " + status, headers, body);
    }

    @Override
    public void close() throws IOException {
        record.line("upstream %s: ends", id);
        acceptor.close();
    }
}
