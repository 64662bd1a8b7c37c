package org.plantainshunt.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A minimal HTTP server on a loopback port; the test writes the raw bytes of its responses. */
final class FakeHttpServer implements AutoCloseable {
    private static final int BACKLOG = 256;

    final List<Request> received = new CopyOnWriteArrayList<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Answerer answerer;
    private final InetSocketAddress address;
    private volatile ServerSocket listener;

    FakeHttpServer(Answerer answerer) throws IOException {
        this.answerer = answerer;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        address = (InetSocketAddress) listener.getLocalSocketAddress();
        accept(listener);
    }

    InetSocketAddress address() {
        return address;
    }

    /** Refuses connections from now on and closes those that are open. */
    void refuseConnections() throws IOException {
        listener.close();
        closeConnections();
    }

    void acceptConnections() throws IOException {
        listener = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
        accept(listener);
    }

    void closeConnections() throws IOException {
        for (Socket socket : open) {
            socket.close();
        }
    }

    List<Request> received(String method, String path) {
        return received.stream()
                .filter(request ->
                        request.method().equals(method) && request.path().equals(path))
                .toList();
    }

    @Override
    public void close() throws IOException {
        refuseConnections();
    }

    private void accept(ServerSocket from) {
        start(() -> {
            while (true) {
                Socket socket = from.accept();
                open.add(socket);
                start(() -> serve(socket));
            }
        });
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            InputStream in = socket.getInputStream();
            for (int number = 1; ; number++) {
                String line = line(in);
                if (line.isEmpty()) {
                    return;
                }
                Request request = read(line, in, number);
                received.add(request);
                if (!answerer.answer(request, socket.getOutputStream())) {
                    return;
                }
            }
        } finally {
            open.remove(socket);
        }
    }

    private static Request read(String line, InputStream in, int number) throws IOException {
        String[] parts = line.split(" ");
        Map<String, String> headers = headers(in);
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Request(parts[0], parts[1], headers, body, number);
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return headers;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static void start(Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // The test or the node closed the connection; the test checks the node's response instead.
                        return;
                    }
                },
                "fake-http-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Writes the response to a request and returns whether the connection stays open. */
    @FunctionalInterface
    interface Answerer {
        boolean answer(Request request, OutputStream out) throws IOException;
    }

    @FunctionalInterface
    private interface Task {
        void run() throws IOException;
    }

    /** A request, and its sequence number on its connection. */
    record Request(String method, String path, Map<String, String> headers, byte[] body, int number) {}
}
