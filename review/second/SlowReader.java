package secondreview;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/** A client that sends requests ahead on one connection and reads the answers slowly. Used by one thread. */
final class SlowReader {
    private static final int RECEIVE_BUFFER = 16 * 1024;
    private static final int PIECE = 16 * 1024;

    private final Recorder record;
    private final Socket socket;
    private final long bytesPerSecond;
    private final int deadlineMilliseconds;
    private final Deque<Message> open = new ArrayDeque<>();
    private long leaveAt = Long.MAX_VALUE;
    private int complete;
    private int wrong;
    private int refused;

    SlowReader(Recorder record, InetSocketAddress node, int deadlineMilliseconds, long bytesPerSecond)
            throws IOException {
        this.record = record;
        this.deadlineMilliseconds = deadlineMilliseconds;
        this.bytesPerSecond = bytesPerSecond;
        socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER);
        socket.setTcpNoDelay(true);
        socket.connect(node);
    }

    void send(String path, String id) throws IOException {
        leaveAt = Math.min(leaveAt, record.now() + deadlineMilliseconds);
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "h.example");
        headers.put("Request-Id", id);
        headers.put("Deadline-Ms", String.valueOf(deadlineMilliseconds));
        Message.write(socket.getOutputStream(), "GET " + path + " HTTP/1.1", headers, new byte[0]);
        Map<String, String> known = Map.of("request-id", id);
        open.add(new Message("GET " + path + " HTTP/1.1", known, new byte[0]));
        record.line("client: sends %s GET %s", id, path);
    }

    /** Reads the answers to all requests that were sent, and leaves at the deadline of the first one. */
    void readAll() {
        try (socket) {
            socket.setSoTimeout(deadlineMilliseconds);
            while (!open.isEmpty()) {
                read(open.getFirst());
                open.removeFirst();
            }
        } catch (IOException | RuntimeException ended) {
            record.line("client: %d requests from %s on have no answer: %s", open.size(),
                    open.getFirst().header("Request-Id"), ended);
        }
    }

    private void read(Message request) throws IOException {
        String id = request.header("Request-Id");
        InputStream in = socket.getInputStream();
        Message head = Message.readHead(in);
        if (head == null) {
            throw new EOFException("the connection was closed");
        }
        byte[] body = slowly(in, Integer.parseInt(head.header("Content-Length")), head.status() == 200 ? request : null);
        if (head.status() != 200) {
            refused++;
            record.line("client: %s is answered %d", id, head.status());
            return;
        }
        if (!head.header("Request-Id").equals(id)) {
            wrong++;
            record.line("client: %s gets the answer to %s", id, head.header("Request-Id"));
        } else if (compare(body, request)) {
            complete++;
            record.line("client: %s is answered 200", id);
        }
    }

    /** Counts a body that differs from the upstream's in the bytes that have come; returns whether it doesn't. */
    private boolean compare(byte[] body, Message request) {
        if (request == null) {
            return true;
        }
        int differs = Arrays.mismatch(body, Arrays.copyOf(Upstream.body(request), body.length));
        if (differs < 0) {
            return true;
        }
        wrong++;
        String found = new String(body, differs, Math.min(110, body.length - differs)).replaceAll("\\s+", " ");
        record.line(
                "client: %s gets a 200 whose body of %d bytes is wrong from byte %d on: %s",
                request.header("Request-Id"), body.length, differs, found);
        return false;
    }

    /** Reads a body; if it breaks off, compares what has come with the answer to the request, unless that is null. */
    private byte[] slowly(InputStream in, int length, Message request) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream(length);
        byte[] piece = new byte[PIECE];
        while (body.size() < length) {
            int count;
            try {
                count = in.read(piece, 0, Math.min(PIECE, length - body.size()));
            } catch (IOException e) {
                compare(body.toByteArray(), request);
                throw new IOException("after " + body.size() + " of " + length + " bytes of an answer: " + e, e);
            }
            if (count < 0 || record.now() > leaveAt) {
                compare(body.toByteArray(), request);
                String reason = count < 0 ? "an answer broke off" : "the client left at its deadline";
                throw new EOFException(reason + " after " + body.size() + " of " + length + " bytes");
            }
            body.write(piece, 0, count);
            try {
                Thread.sleep(1_000L * count / bytesPerSecond);
            } catch (InterruptedException interrupted) {
                throw new IOException(interrupted);
            }
        }
        return body.toByteArray();
    }

    int complete() {
        return complete;
    }

    /** Returns the number of successes with a body that isn't the upstream's. */
    int wrong() {
        return wrong;
    }

    int refused() {
        return refused;
    }

    /** Returns the requests that have no answer. */
    Deque<Message> unanswered() {
        return open;
    }
}
