package org.plantainshunt.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.plantainshunt.configuration.RequestLimits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that a server that stops loses no response to a caller that reads slowly. */
@Timeout(60)
class ServerStopTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final int SMALL_BODY_BYTES = 30_000;
    /** More than the socket buffers of a connection hold. */
    private static final int LARGE_BODY_BYTES = 16 * 1024 * 1024;
    /** Small, so that the server's writes soon block if the caller does not read. */
    private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;

    private static final int OUTSTANDING = 8;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final AtomicInteger received = new AtomicInteger();
    private final List<Runnable> held = new CopyOnWriteArrayList<>();
    private PipelinedServer server;

    @BeforeEach
    void start() throws IOException {
        server = new PipelinedServer(
                loops.next(),
                new InetSocketAddress("127.0.0.1", 0),
                (request, response) -> {
                    received.incrementAndGet();
                    int length = request.target().equals("/large") ? LARGE_BODY_BYTES : SMALL_BODY_BYTES;
                    Runnable answer = () -> response.accept(new BufferedHttpResponse(200, List.of(), new byte[length]));
                    if (request.target().equals("/held")) {
                        held.add(answer);
                    } else {
                        answer.run();
                    }
                    return () -> {};
                },
                () -> RequestLimits.DEFAULT,
                System::nanoTime);
    }

    @AfterEach
    void stop() {
        server.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Guards against a reset that discards responses which a slow caller reads after its next request. */
    @Test
    void slowCallerThatPipelinesGetsEveryResponse() throws Exception {
        try (Socket caller = connect()) {
            for (int count = 0; count < OUTSTANDING; count++) {
                sendRequest(caller, "/small");
            }
            int answered = 0;
            boolean open = true;
            while (open) {
                TimeUnit.MILLISECONDS.sleep(20);
                if (answered == OUTSTANDING) {
                    server.drain();
                }
                open = !readHead(caller).contains("connection: close");
                assertEquals(
                        SMALL_BODY_BYTES, caller.getInputStream().readNBytes(SMALL_BODY_BYTES).length, "cut response");
                answered++;
                sendRequest(caller, "/small");
            }
            assertEquals(received.get(), answered, "requests were handled and not answered");
        }
    }

    /** Guards against a stop that counts a request as complete while its response is still being written. */
    @Test
    void requestIsOpenUntilItsResponseIsWritten() throws Exception {
        try (Socket caller = connect()) {
            sendRequest(caller, "/large");
            readHead(caller);
            assertEquals(1, server.openRequests());
            assertEquals(LARGE_BODY_BYTES, caller.getInputStream().readNBytes(LARGE_BODY_BYTES).length);
            await(() -> server.openRequests() == 0, "the request is still open");
        }
    }

    /** Guards against closing a connection as idle while its last response is still being written. */
    @Test
    void responseIsCompleteAlthoughTheServerStopsListening() throws Exception {
        try (Socket caller = connect()) {
            sendRequest(caller, "/large");
            readHead(caller);
            server.drain();
            server.stopListening();
            TimeUnit.MILLISECONDS.sleep(200);
            assertEquals(LARGE_BODY_BYTES, caller.getInputStream().readNBytes(LARGE_BODY_BYTES).length);
            assertEquals(-1, caller.getInputStream().read());
        }
    }

    /** Guards against a stop without an end for a caller that always has further requests outstanding. */
    @Test
    void callerThatKeepsSendingIsAnsweredAndClosed() throws Exception {
        try (Socket caller = connect()) {
            // In one segment, because the server reads no more while the large response is being written.
            sendRequests(caller, "/large", "/held");
            readHead(caller);
            await(() -> received.get() == 2, "the second request has not been read");
            server.drain();
            server.stopListening();
            TimeUnit.MILLISECONDS.sleep(200);
            held.forEach(Runnable::run);
            for (int count = 0; count < OUTSTANDING; count++) {
                sendRequest(caller, "/small");
            }
            caller.getInputStream().skipNBytes(LARGE_BODY_BYTES);
            assertTrue(readHead(caller).contains("connection: close"), "not the last response");
            caller.getInputStream().skipNBytes(SMALL_BODY_BYTES);
            assertEquals(-1, caller.getInputStream().read());
            assertEquals(2, received.get());
        }
    }

    /** Guards against connections that stay for good because the caller never closes them. */
    @Test
    void connectionOfCallerThatNeverClosesIsClosed() throws Exception {
        try (Socket caller = connect()) {
            sendRequest(caller, "/small");
            readHead(caller);
            caller.getInputStream().skipNBytes(SMALL_BODY_BYTES);
            server.drain();
            server.stopListening();
            assertEquals(-1, caller.getInputStream().read());
            await(() -> server.closingConnections() == 1, "not counted as closing");
            await(() -> server.closingConnections() == 0, "still open");
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(server.address());
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static void sendRequest(Socket caller, String path) throws IOException {
        sendRequests(caller, path);
    }

    private static void sendRequests(Socket caller, String... paths) throws IOException {
        StringBuilder requests = new StringBuilder();
        for (String path : paths) {
            requests.append("GET ").append(path).append(" HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        caller.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads the header of the next response, in lower case. */
    private static String readHead(Socket caller) throws IOException {
        InputStream in = caller.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            assertTrue(next >= 0, "the connection ended without a response");
            head.append((char) next);
        }
        return head.toString().toLowerCase(Locale.ROOT);
    }

    private static void await(BooleanSupplier condition, String failure) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, failure);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }
}
