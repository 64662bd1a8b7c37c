package org.plantainshunt.node;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** A caller that writes raw bytes to a socket, so that it can send requests that no HTTP client would. */
final class RawCaller implements AutoCloseable {
    private static final int TIMEOUT_MILLISECONDS = 10_000;

    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

    private final Socket socket = new Socket();

    RawCaller(InetSocketAddress address) throws IOException {
        // Small, so that the node's writes soon block if the caller does not read.
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(address, TIMEOUT_MILLISECONDS);
        socket.setSoTimeout(TIMEOUT_MILLISECONDS);
        socket.setTcpNoDelay(true);
    }

    /** Sends one request on a new connection and returns the response. */
    static Answer call(InetSocketAddress address, String request) throws IOException {
        try (RawCaller caller = new RawCaller(address)) {
            return caller.send(request).read();
        }
    }

    /** Returns a POST request; each further line is a header. */
    static String post(String path, String body, String... headers) {
        return "POST " + path + " HTTP/1.1\r\nHost: node\r\nContent-Length: " + body.length() + "\r\n"
                + (headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n") + "\r\n" + body;
    }

    RawCaller send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    Answer read() throws IOException {
        InputStream in = socket.getInputStream();
        String line = FakeHttpServer.line(in);
        if (line.isEmpty()) {
            throw new EOFException("the node closed the connection before a response");
        }
        Map<String, String> headers = FakeHttpServer.headers(in);
        String length = headers.get("content-length");
        byte[] body = length == null ? chunks(in, headers) : in.readNBytes(Integer.parseInt(length));
        return new Answer(Integer.parseInt(line.split(" ")[1]), headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    /** Reads a response with a length, and runs an action before the last part of its body. Returns the length. */
    int readInTwoParts(int lastPart, Action action) throws Exception {
        InputStream in = socket.getInputStream();
        FakeHttpServer.line(in);
        int length = Integer.parseInt(FakeHttpServer.headers(in).get("content-length"));
        int read = in.readNBytes(length - lastPart).length;
        action.run();
        return read + in.readNBytes(lastPart).length;
    }

    boolean isAnswered() throws IOException {
        return socket.getInputStream().available() > 0;
    }

    /** Reads the response if the node has started to send one. */
    Optional<Answer> readIfAnswered() throws IOException {
        return isAnswered() ? Optional.of(read()) : Optional.empty();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private static byte[] chunks(InputStream in, Map<String, String> headers) throws IOException {
        if (!headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            throw new IOException("the response has no length: " + headers);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = Integer.parseInt(FakeHttpServer.line(in), 16);
                size > 0;
                size = Integer.parseInt(FakeHttpServer.line(in), 16)) {
            body.write(in.readNBytes(size));
            FakeHttpServer.line(in);
        }
        FakeHttpServer.line(in);
        return body.toByteArray();
    }

    /** Something that a test does between two steps. */
    @FunctionalInterface
    interface Action {
        void run() throws Exception;
    }

    /** A response of the node. */
    record Answer(int status, Map<String, String> headers, String body) {
        int result() {
            return Integer.parseInt(headers.getOrDefault("plantainshunt-result", "0"));
        }

        String run() {
            return headers.getOrDefault("plantainshunt-run", "");
        }

        String requestId() {
            return headers.getOrDefault("plantainshunt-request-id", "");
        }

        String ticket() {
            return headers.getOrDefault("plantainshunt-ticket", "");
        }

        JsonNode json() throws IOException {
            return new ObjectMapper().readTree(body);
        }
    }
}
