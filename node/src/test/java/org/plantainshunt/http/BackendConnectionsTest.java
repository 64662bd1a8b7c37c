package org.plantainshunt.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.plantainshunt.call.BackendServer.FailureStage;
import org.plantainshunt.protocol.Header;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

class BackendConnectionsTest {
    private static final int TIMEOUT_SECONDS = 10;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
    private ServerSocket server;
    private BackendConnections connections;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        connections = new BackendConnections(
                loops.next(), new InetSocketAddress("127.0.0.1", server.getLocalPort()), System::nanoTime);
    }

    @AfterEach
    void stop() throws IOException {
        connections.close();
        server.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Test
    void connectionIsUsedAgain() throws Exception {
        send("1");
        Socket accepted = accept();
        answer(accepted, "1", "one");
        assertEquals("200 one", nextOutcome());
        awaitEventLoop();
        send("2");
        readRequest(accepted);
        write(accepted, head("2", 3) + "two");
        assertEquals("200 two", nextOutcome());
    }

    /** A late response to an earlier request must not be taken for the response to the current one. */
    @Test
    void answerOfAnotherRequestIsDropped() throws Exception {
        send("2");
        Socket accepted = accept();
        readRequest(accepted);
        write(accepted, head("1", 3) + "old" + head("2", 3) + "new");
        assertEquals("200 new", nextOutcome());
    }

    /** A connection on which unexpected bytes arrived must not be reused. */
    @Test
    void surplusBytesCloseTheConnection() throws Exception {
        send("1");
        Socket accepted = accept();
        readRequest(accepted);
        write(accepted, head("1", 3) + "one" + head("1", 3) + "two");
        assertEquals("200 one", nextOutcome());
        assertEquals(-1, accepted.getInputStream().read());
    }

    /** A response that is shorter than its Content-Length must not be taken for a complete one. */
    @Test
    void truncatedAnswerFails() throws Exception {
        send("1");
        Socket accepted = accept();
        readRequest(accepted);
        write(accepted, head("1", 10) + "short");
        accepted.close();
        assertEquals(FailureStage.ANSWER_CUT.name(), nextOutcome());
    }

    /** A response without a length must not be taken for a complete one if its connection was reset. */
    @Test
    void resetAnswerWithoutLengthFails() throws Exception {
        send("1");
        Socket accepted = accept();
        readRequest(accepted);
        write(accepted, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf");
        awaitEventLoop();
        accepted.setSoLinger(true, 0);
        accepted.close();
        assertEquals(FailureStage.ANSWER_CUT.name(), nextOutcome());
    }

    @Test
    void answerWithoutLengthEndsWithItsConnection() throws Exception {
        send("1");
        Socket accepted = accept();
        readRequest(accepted);
        write(accepted, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole");
        accepted.close();
        assertEquals("200 whole", nextOutcome());
    }

    /** A request that may have been delivered must not be reported as "not run". */
    @Test
    void closeWithoutAnswerIsAFailureAfterTheRequestWasSent() throws Exception {
        send("1");
        Socket accepted = accept();
        readRequest(accepted);
        accepted.close();
        assertEquals(FailureStage.AFTER_SENT.name(), nextOutcome());
    }

    @Test
    void refusedConnectionIsAFailureBeforeTheRequestWasSent() throws Exception {
        server.close();
        send("1");
        assertEquals(FailureStage.BEFORE_SENT.name(), nextOutcome());
    }

    /** A cancelled request must close its connection, so that the backend server can stop working on it. */
    @Test
    void abortClosesTheConnection() throws Exception {
        BackendConnections.Exchange exchange = send("1");
        Socket accepted = accept();
        readRequest(accepted);
        loops.next()
                .submit(() -> exchange.abort(FailureStage.AFTER_SENT, "cancelled"))
                .sync();
        assertEquals(FailureStage.AFTER_SENT.name(), nextOutcome());
        assertEquals(-1, accepted.getInputStream().read());
    }

    /** Bytes that are not an HTTP response must not be taken for one. */
    @Test
    void garbledAnswerFails() throws Exception {
        send("1");
        Socket accepted = accept();
        readRequest(accepted);
        write(accepted, "\u0001\u0002 nonsense\r\n\r\n");
        assertNotEquals("200 ", nextOutcome());
    }

    private BackendConnections.Exchange send(String id) throws Exception {
        BufferedHttpRequest httpRequest =
                new BufferedHttpRequest("GET", "/a", List.of(new Header("Host", "h")), new byte[0], 0);
        CompletableFuture<BackendConnections.Exchange> sent = new CompletableFuture<>();
        loops.next()
                .execute(() -> sent.complete(connections.send(new BackendConnections.Request(
                        httpRequest,
                        answer -> answer.header("Id").equals(Optional.of(id)),
                        Long.MAX_VALUE,
                        new Recorder()))));
        return sent.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private Socket accept() throws IOException {
        Socket socket = server.accept();
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        return socket;
    }

    private void answer(Socket accepted, String id, String body) throws IOException {
        readRequest(accepted);
        write(accepted, head(id, body.length()) + body);
    }

    private static String head(String id, int length) {
        return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private static void readRequest(Socket accepted) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf("\r\n\r\n") < 0) {
            int next = accepted.getInputStream().read();
            if (next < 0) {
                throw new IOException("the connection closed within a request: " + read);
            }
            read.append((char) next);
        }
    }

    private static void write(Socket accepted, String text) throws IOException {
        accepted.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Waits until bytes sent over loopback have arrived and the event loop has processed them. */
    private void awaitEventLoop() throws Exception {
        Thread.sleep(50);
        loops.next().submit(() -> {}).sync();
    }

    private String nextOutcome() throws InterruptedException {
        return String.valueOf(outcomes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** Records the outcomes of requests. */
    private final class Recorder implements BackendConnections.Listener {
        @Override
        public void answered(BufferedHttpResponse response) {
            outcomes.add(response.status() + " " + new String(response.body(), StandardCharsets.ISO_8859_1));
        }

        @Override
        public void failed(FailureStage stage, String detail) {
            outcomes.add(stage.name());
        }
    }
}
