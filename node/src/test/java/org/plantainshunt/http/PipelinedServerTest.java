package org.plantainshunt.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.plantainshunt.configuration.RequestLimits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PipelinedServerTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final RequestLimits LIMITS =
            new RequestLimits(1_000, 100, Duration.ofMillis(600), Duration.ofSeconds(60));

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
    private volatile RequestLimits limits = LIMITS;
    private PipelinedServer server;

    @BeforeEach
    void start() throws IOException {
        server = new PipelinedServer(
                loops.next(),
                new InetSocketAddress("127.0.0.1", 0),
                (httpRequest, response) -> {
                    ReceivedRequest request = new ReceivedRequest(httpRequest, response, new CountDownLatch(1));
                    received.add(request);
                    return request.cancelled()::countDown;
                },
                () -> limits,
                System::nanoTime);
    }

    @AfterEach
    void stop() {
        server.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** A slow request must not delay the start of the requests after it; responses must keep the request order. */
    @Test
    void pipelinedRequestsRunConcurrentlyAndResponsesKeepTheirOrder() throws Exception {
        try (Socket caller = connect()) {
            send(caller, get("/one") + get("/two"));
            ReceivedRequest one = next();
            ReceivedRequest two = next();
            two.response().accept(text("second"));
            one.response().accept(text("first"));
            String answers = readUntil(caller, "second");
            assertTrue(answers.indexOf("first") < answers.indexOf("second"), answers);
        }
    }

    /** Guards against a response in the place of the body of the one before it, which could not be written. */
    @Test
    void connectionIsClosedIfABodyCannotBeWritten() throws Exception {
        EmbeddedChannel caller =
                new EmbeddedChannel(new BodyRejecter(), new HttpServerCodec(), new ServerConnection(server));
        caller.writeInbound(Unpooled.copiedBuffer(get("/one") + get("/two"), StandardCharsets.US_ASCII));
        ReceivedRequest one = next();
        next().response().accept(text("second"));
        one.response().accept(text("first"));
        caller.runPendingTasks();
        assertFalse(caller.isOpen());
        StringBuilder written = new StringBuilder();
        for (ByteBuf bytes = caller.readOutbound(); bytes != null; bytes = caller.readOutbound()) {
            written.append(bytes.toString(StandardCharsets.US_ASCII));
            bytes.release();
        }
        assertFalse(written.toString().contains("second"), written.toString());
        assertEquals(0, server.openRequests());
        assertEquals(0, server.closingConnections());
    }

    /** Fails to write the body of the first response, as if there were no memory for it. */
    private static final class BodyRejecter extends ChannelOutboundHandlerAdapter {
        private boolean rejected;

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (!rejected
                    && ((ByteBuf) message).toString(StandardCharsets.US_ASCII).endsWith("first")) {
                rejected = true;
                ReferenceCountUtil.release(message);
                promise.setFailure(new OutOfMemoryError("direct memory"));
                return;
            }
            context.write(message, promise);
        }
    }

    /** The requests of a caller that disconnects must be cancelled. */
    @Test
    void callerDisconnectCancelsItsRunningRequests() throws Exception {
        ReceivedRequest request;
        try (Socket caller = connect()) {
            send(caller, get("/long"));
            request = next();
        }
        assertTrue(request.cancelled().await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "not cancelled");
    }

    /** Request smuggling: Content-Length and Transfer-Encoding together must be refused. */
    @Test
    void requestWithTwoFramingsIsRefused() throws Exception {
        assertRefused(
                "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400);
    }

    @Test
    void requestWithoutHostIsRefused() throws Exception {
        assertRefused("GET /a HTTP/1.1\r\n\r\n", 400);
    }

    @Test
    void headerOverTheLimitIsRefused() throws Exception {
        assertRefused("GET /a HTTP/1.1\r\nHost: h\r\nX: " + "x".repeat(2_000) + "\r\n\r\n", 431);
    }

    /** The size of a body must be checked before it is buffered, with Content-Length and with chunks. */
    @Test
    void bodyOverTheLimitIsRefused() throws Exception {
        assertRefused("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", 413);
        assertRefused(
                "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + "x".repeat(101) + "\r\n",
                413);
    }

    /** Guards against a connection from before the first configuration that refuses proper bodies until it closes. */
    @Test
    void openConnectionFollowsALargerBodyLimit() throws Exception {
        try (Socket caller = connect()) {
            send(caller, get("/before"));
            next().response().accept(text("before"));
            readUntil(caller, "before");
            limits = new RequestLimits(1_000, 200, Duration.ofMillis(600), Duration.ofSeconds(60));
            send(caller, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 150\r\n\r\n" + "x".repeat(150));
            assertEquals(150, next().httpRequest().body().length);
        }
    }

    /** A caller that never completes the header of a request must not keep its connection open. */
    @Test
    void slowHeaderIsRefused() throws Exception {
        assertRefused("GET /a HTTP/1.1\r\nHo", 408);
    }

    /** A chunked body must be forwarded without its chunk framing. */
    @Test
    void chunkedBodyArrivesWhole() throws Exception {
        try (Socket caller = connect()) {
            send(
                    caller,
                    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
            ReceivedRequest request = next();
            assertEquals("abcde", new String(request.httpRequest().body(), StandardCharsets.US_ASCII));
            assertFalse(request.httpRequest().header("Transfer-Encoding").isPresent());
        }
    }

    /** Hop-by-hop header fields that the Connection header names must not reach the next hop. */
    @Test
    void fieldsNamedByConnectionAreDropped() throws Exception {
        try (Socket caller = connect()) {
            send(caller, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n\r\n");
            ReceivedRequest request = next();
            assertFalse(request.httpRequest().header("x-hop").isPresent());
            assertEquals("2", request.httpRequest().header("x-end").orElseThrow());
        }
    }

    /** A draining server must close connections, so that callers do not keep using a node that shuts down. */
    @Test
    void drainingServerClosesAfterTheResponse() throws Exception {
        try (Socket caller = connect()) {
            send(caller, get("/a"));
            server.drain();
            next().response().accept(text("last"));
            String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(
                    answer.contains("last") && answer.toLowerCase(Locale.ROOT).contains("connection: close"), answer);
        }
    }

    /** A shutdown must not drop pipelined requests that are already running. */
    @Test
    void drainingServerAnswersPipelinedRequests() throws Exception {
        try (Socket caller = connect()) {
            send(caller, get("/one") + get("/two"));
            ReceivedRequest one = next();
            ReceivedRequest two = next();
            server.drain();
            one.response().accept(text("first"));
            two.response().accept(text("second"));
            String answers = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(answers.contains("first") && answers.contains("second"), answers);
        }
    }

    /** Connections in the kernel's accept queue must not be reset when a busy node stops listening. */
    @Test
    void stopAnswersConnectionsThatWaitToBeAccepted() throws Exception {
        CountDownLatch busy = new CountDownLatch(1);
        loops.next().execute(() -> awaitQuietly(busy));
        try (Socket caller = connect()) {
            send(caller, get("/one"));
            server.drain();
            server.stopListening();
            busy.countDown();
            next().response().accept(text("whole"));
            assertTrue(readUntil(caller, "whole").endsWith("whole"), "not answered");
        }
    }

    /** A connection must not be closed while its first request is in transit. */
    @Test
    void stopAnswersFirstRequestOfConnection() throws Exception {
        try (Socket caller = connect();
                Socket used = connect()) {
            send(used, get("/one"));
            next().response().accept(text("before"));
            readUntil(used, "before");
            server.stopListening();
            assertEquals(-1, used.getInputStream().read());
            send(caller, get("/two"));
            next().response().accept(text("whole"));
            assertTrue(readUntil(caller, "whole").endsWith("whole"), "not answered");
        }
    }

    /** The server must stop listening even if no caller connects; a connection would make it accept and close. */
    @Test
    void stopEndsListeningWithoutCallers() throws Exception {
        server.stopListening();
        TimeUnit.SECONDS.sleep(1);
        assertThrows(ConnectException.class, this::connect);
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void assertRefused(String request, int status) throws Exception {
        try (Socket caller = connect()) {
            send(caller, request);
            String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", server.address().getPort());
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        return socket;
    }

    private static void send(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readUntil(Socket caller, String end) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf(end) < 0) {
            int next = caller.getInputStream().read();
            if (next < 0) {
                break;
            }
            read.append((char) next);
        }
        return read.toString();
    }

    private ReceivedRequest next() throws InterruptedException {
        ReceivedRequest next = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("no request arrived");
        }
        return next;
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private static BufferedHttpResponse text(String body) {
        return new BufferedHttpResponse(200, List.of(), body.getBytes(StandardCharsets.US_ASCII));
    }

    private record ReceivedRequest(
            BufferedHttpRequest httpRequest, Consumer<BufferedHttpResponse> response, CountDownLatch cancelled) {}
}
