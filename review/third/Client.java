package review.third;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** A client's kept connection to a node; one request at a time. Confined to one thread. */
final class Client implements AutoCloseable {
    private final String address;
    private final int port;
    private Socket socket;
    private InputStream in;

    /**
     * The end of a request.
     *
     * @param status the status, or 0 if the connection ended without a complete answer
     * @param signed whether the answer has an upstream's signature
     * @param right whether the body is the one of the request
     */
    record Answer(int status, boolean signed, boolean right, String detail) {}

    Client(String address, int port) {
        this.address = address;
        this.port = port;
    }

    /** Sends a request, over a new connection if there is none, and waits for its answer. */
    Answer send(String method, String host, String target, String id, int deadlineMs, byte[] body) {
        try {
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress(address, port), 1_000);
                in = new BufferedInputStream(socket.getInputStream(), 1 << 14);
            }
            socket.setSoTimeout(deadlineMs + 2_000);
            String head = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id
                    + "\r\nDeadline-Ms: " + deadlineMs + "\r\n"
                    + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            if (body.length > 0) {
                out.write(body);
            }
            out.flush();
            List<String> lines = Http.head(in);
            if (lines.isEmpty()) {
                return lost("the connection was closed");
            }
            Map<String, String> fields = Http.fields(lines);
            int status = Integer.parseInt(lines.get(0).split(" ")[1]);
            byte[] content = in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
            if (content.length < Integer.parseInt(fields.getOrDefault("content-length", "0"))) {
                return lost("the answer broke off");
            }
            boolean right = fields.getOrDefault("request-id", id).equals(id)
                    && (status != 200
                            || Arrays.equals(content, Http.body(id, (int) Http.parameter(requestLine(target), "bytes", 2_000))));
            if (fields.getOrDefault("connection", "").equalsIgnoreCase("close")) {
                close();
            }
            String text = status == 200 ? "" : new String(content, 0, Math.min(80, content.length), StandardCharsets.UTF_8).trim();
            return new Answer(status, fields.containsKey("response-signature"), right, text);
        } catch (SocketTimeoutException e) {
            return lost("no answer until after the deadline");
        } catch (IOException e) {
            return lost(e.toString());
        }
    }

    private static String requestLine(String target) {
        return "GET " + target + " HTTP/1.1";
    }

    private Answer lost(String detail) {
        close();
        return new Answer(0, false, false, detail);
    }

    @Override
    public void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // The connection is given up in any case.
            }
            socket = null;
        }
    }
}
