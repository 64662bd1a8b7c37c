package review.standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound upstream: runs up to {@code capacity} requests at a time, queues a few more, and rejects the others with
 * Not-Executed.
 */
public final class Upstream implements AutoCloseable {
    private final String id;
    private final int capacity;
    private final int queueLength;
    private final Record record;
    private final Work work;
    private final ServerSocket listening;
    private final Semaphore slots;
    private final AtomicInteger waiting = new AtomicInteger();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final Set<String> running = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    /** What a request takes and answers. */
    @FunctionalInterface
    public interface Work {
        /** Returns the size of the answer's body, after the time that the request takes. */
        int run(Message request) throws InterruptedException;
    }

    public Upstream(String id, String ip, int port, int capacity, Record record, Work work) throws IOException {
        this.id = id;
        this.capacity = capacity;
        this.queueLength = capacity;
        this.record = record;
        this.work = work;
        this.slots = new Semaphore(capacity, true);
        this.listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 500);
        Threads.start("upstream " + id, this::accept);
    }

    public String id() {
        return id;
    }

    public int capacity() {
        return capacity;
    }

    /** Returns the ids of the requests that this upstream began to work on. */
    public Set<String> ran() {
        return ran;
    }

    /** Returns the ids of the requests at which this upstream is at work. */
    public Set<String> running() {
        return running;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listening.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Threads.start("upstream connection " + id, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            while (!closed) {
                Message head = Message.readHead(input);
                if (head == null) {
                    return;
                }
                Message.readBody(input, head.contentLength());
                answer(socket.getOutputStream(), head);
            }
        } catch (IOException e) {
            record.line("upstream %s: connection ended: %s", id, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    private void answer(OutputStream output, Message head) throws IOException, InterruptedException {
        String request = head.header("Request-Id");
        String expected = head.header("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            record.line("upstream %s: 421 for %s, which expects %s", id, request, expected);
            send(output, 421, "Not-Executed: 1\r\nInstance-Id: " + id + "\r\n", request, new byte[0]);
            return;
        }
        if (!slots.tryAcquire()) {
            boolean full = waiting.incrementAndGet() > queueLength;
            boolean acquired = !full && slots.tryAcquire(deadline(head), TimeUnit.MILLISECONDS);
            waiting.decrementAndGet();
            if (!acquired) {
                record.line("upstream %s: 503 not executed for %s", id, request);
                send(output, 503, "Not-Executed: 1\r\n", request, new byte[0]);
                return;
            }
        }
        try {
            ran.add(request);
            running.add(request);
            record.line("upstream %s: runs %s (%s)", id, request, head.firstLine());
            byte[] body = new byte[work.run(head)];
            String extra = "Response-Signature: sig." + request + "\r\nKeep-Alive: timeout=10\r\n";
            slots.release();
            running.remove(request);
            record.line("upstream %s: has run %s, answers 200 with %d bytes", id, request, body.length);
            send(output, 200, extra, request, body);
        } catch (InterruptedException e) {
            slots.release();
            throw e;
        }
    }

    private static long deadline(Message head) {
        String text = head.header("Deadline-Ms");
        return text.isEmpty() ? 5_000 : (long) Double.parseDouble(text);
    }

    private static void send(OutputStream output, int status, String headers, String request, byte[] body)
            throws IOException {
        String head = "HTTP/1.1 " + status + " Status\r\nRequest-Id: " + request + "\r\n" + headers
                + "Content-Length: " + body.length + "\r\n\r\n";
        output.write(head.getBytes(StandardCharsets.US_ASCII));
        output.write(body);
        output.flush();
    }
}
