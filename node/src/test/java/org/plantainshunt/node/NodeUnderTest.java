package org.plantainshunt.node;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;

/** A complete node on loopback ports, with a fake platform and a fake backend server. */
final class NodeUnderTest implements AutoCloseable {
    static final String CONFIGURATION =
            """
            [document]
            version = 3
            name = test

            [region one]

            [data-centre one-1]
            region = one

            [service front]
            slots = 64
            connections = 64
            queue = 4096

            [kind front browse]
            class = standard
            runs = repeatable
            deadline = 1 s

            [kind front push]
            class = critical
            runs = at-most-once
            deadline = 1 s

            [kind front chain]
            class = standard
            runs = repeatable
            deadline = 1 s
            calls = front browse x1

            [kind front wait]
            class = standard
            runs = repeatable
            deadline = 10 s

            [policy]
            largest-body = 64 KiB
            largest-answer = 8 MiB
            """;

    private static final long WAIT_NANOSECONDS = 10_000_000_000L;

    final FakeHttpServer backendServer;
    final FakeHttpServer platform;
    final NodeSettings settings;
    final Node node;

    NodeUnderTest(FakeHttpServer.Answerer answerer, Optional<Path> spans) throws Exception {
        this(answerer, spans, Optional.empty());
    }

    NodeUnderTest(FakeHttpServer.Answerer answerer, Optional<Path> spans, Optional<Path> decisions) throws Exception {
        InetSocketAddress inner = freeAddress();
        backendServer = backendServer(answerer);
        platform = platform(inner);
        settings = new NodeSettings(
                "front-1",
                "one-1",
                "front",
                freeAddress(),
                freeAddress(),
                inner,
                freeAddress(),
                backendServer.address(),
                platform.address(),
                List.of(),
                "a secret of the test fleet",
                spans,
                decisions);
        node = new Node(settings);
        await(() -> call(RawCaller.post("/front/browse/ok", "")).result() == 1000);
    }

    /** Returns a backend server whose health is "serving". */
    static FakeHttpServer backendServer(FakeHttpServer.Answerer answerer) throws IOException {
        return new FakeHttpServer((request, out) -> {
            if (request.path().equals("/plantainshunt/health")) {
                return answer(out, "serving");
            }
            return answerer.answer(request, out);
        });
    }

    /** Returns a platform that lists one VM. */
    static FakeHttpServer platform(InetSocketAddress inner) throws IOException {
        return new FakeHttpServer((request, out) ->
                answer(out, request.path().equals("/vm-list") ? vmList(inner.getPort()) : CONFIGURATION));
    }

    RawCaller.Answer call(String request) throws IOException {
        return RawCaller.call(settings.callerAddress(), request);
    }

    RawCaller caller() throws IOException {
        return new RawCaller(settings.callerAddress());
    }

    /** Sends a GET request to the admin address. */
    RawCaller.Answer admin(String path) throws IOException {
        return RawCaller.call(settings.adminAddress(), "GET " + path + " HTTP/1.1\r\nHost: node\r\n\r\n");
    }

    int openRequests() throws IOException {
        return admin("/metrics").json().path("gauges").path("callers.open").asInt();
    }

    /** Waits until a condition holds, and fails if it does not within 10 s. */
    static void await(Callable<Boolean> condition) throws Exception {
        long start = System.nanoTime();
        while (!condition.call()) {
            if (System.nanoTime() - start > WAIT_NANOSECONDS) {
                throw new AssertionError("the condition did not hold within 10 s");
            }
            Thread.sleep(10);
        }
    }

    static boolean write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        return true;
    }

    static boolean answer(OutputStream out, String body) throws IOException {
        return write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
    }

    @Override
    public void close() throws IOException {
        node.close();
        backendServer.close();
        platform.close();
    }

    private static String vmList(int innerPort) {
        return "[vm-list]\nrevision = 1\n\n[vm front-1]\nservice = front\ndata-centre = one-1\naddress = 127.0.0.1\n"
                + "inner-port = " + innerPort + "\nstate = live\n";
    }
}
