package review.standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to the outbound address of a machine. Confined to one thread. */
public final class Client implements AutoCloseable {
    private static final int CONNECT_MILLISECONDS = 1_000;
    private static final int READ_MILLISECONDS = 30_000;

    private final Socket socket = new Socket();
    private final InputStream input;
    private final OutputStream output;

    /** An answer, or how the connection ended instead: status 0 and the reason. */
    public record Answer(int status, Message head, int bodyBytes, String end) {
        public boolean success() {
            return status == 200 && !head.header("Response-Signature").isEmpty();
        }

        @Override
        public String toString() {
            return status == 0 ? "no answer: " + end : status + " with " + bodyBytes + " bytes";
        }
    }

    public Client(String ip, int port) throws IOException {
        this(ip, port, 0);
    }

    /** Connects with a receive buffer of so many bytes, or the default with 0. */
    public Client(String ip, int port, int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, port), CONNECT_MILLISECONDS);
        socket.setSoTimeout(READ_MILLISECONDS);
        input = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
        output = socket.getOutputStream();
    }

    /** Sends a request. */
    public void send(String method, String host, String path, String id, long deadlineMilliseconds, byte[] body)
            throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                + deadlineMilliseconds + "\r\n" + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n")
                + "\r\n";
        output.write(head.getBytes(StandardCharsets.US_ASCII));
        output.write(body);
        output.flush();
    }

    /** Reads an answer completely. */
    public Answer read() {
        return read(Long.MAX_VALUE);
    }

    /** Reads an answer at no more than so many bytes a second. */
    public Answer read(long bytesPerSecond) {
        int received = 0;
        Message head = null;
        try {
            head = Message.readHead(input);
            if (head == null) {
                return new Answer(0, null, 0, "the connection was closed");
            }
            long length = head.contentLength();
            long start = System.nanoTime();
            byte[] buffer = new byte[16 * 1024];
            while (received < length) {
                int count = input.read(buffer, 0, (int) Math.min(buffer.length, length - received));
                if (count < 0) {
                    return new Answer(0, head, received, "closed after " + received + " of " + length + " bytes");
                }
                received += count;
                long ahead = bytesPerSecond == Long.MAX_VALUE
                        ? 0
                        : received * 1_000L / bytesPerSecond - (System.nanoTime() - start) / 1_000_000;
                if (ahead > 0) {
                    Threads.sleep(ahead);
                }
            }
            return new Answer(head.status(), head, received, "");
        } catch (IOException e) {
            return new Answer(0, head, received, e.getMessage() + " after " + received + " bytes of the body");
        }
    }

    /** Sends one request on a connection of its own and reads the answer. */
    public static Answer once(
            String ip, int port, String method, String host, String path, String id, long deadlineMilliseconds) {
        try (Client client = new Client(ip, port)) {
            client.send(method, host, path, id, deadlineMilliseconds, new byte[0]);
            return client.read();
        } catch (IOException e) {
            return new Answer(0, null, 0, e.getMessage());
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
