package org.plantainshunt.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainshunt.call.BackendServer.FailureStage;
import org.plantainshunt.protocol.Header;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class BackendConnectionsTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final int REPEATED_REQUESTS = 2_000;

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

    /** Guards against answers that the decoder reads in its own way, with another status, field or body. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\n",
                "HTTP/1.1 099 OK\r\n",
                "HTTP/1.1 600 OK\r\n",
                "HTTP/1.1 999 OK\r\n",
                "HTTP/1.1 1000 OK\r\n",
                "HTTP/1.1 0200 OK\r\n",
                "HTTP/1.1 +200 OK\r\n",
                "HTTP/1.1 20 OK\r\n",
                "HTTP/1.1  200 OK\r\n",
                "HTTP/2.0 200 OK\r\n",
                "ICY/1.1 200 OK\r\n",
                "HTTP/1.1 200 O\u0001K\r\n",
                "\r\nHTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\n",
                "HTTP/1.1 200 OK\r\nA b: c\r\n",
                "HTTP/1.1 200 OK\r\nA : c\r\n",
                "HTTP/1.1 200 OK\r\nA\u0001: c\r\n",
                "HTTP/1.1 200 OK\r\nA\u0000b: c\r\n",
                "HTTP/1.1 200 OK\r\nA\u007f: c\r\n",
                "HTTP/1.1 200 OK\r\nA\tb: c\r\n",
                "HTTP/1.1 200 OK\r\nA\rb: c\r\n",
                "HTTP/1.1 200 OK\r\nA\u00e9: c\r\n",
                "HTTP/1.1 200 OK\r\n A: c\r\n",
                "HTTP/1.1 200 OK\r\nB: d\r\n\tA: c\r\n",
                "HTTP/1.1 200 OK\r\n: c\r\n",
                "HTTP/1.1 200 OK\r\nA\r\n",
                "HTTP/1.1 200 OK\r\nA: c\u0000\r\n",
                "HTTP/1.1 200 OK\r\nA: c\rB: d\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length x: 1\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length\u000b: 1\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n",
                "HTTP/1.1 100 Continue\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\n"
            })
    void answerWithMalformedHeadIsNoAnswer(String beginning) throws Exception {
        send("1");
        Socket accepted = accept();
        readRequest(accepted);
        write(accepted, beginning + "Id: 1\r\nContent-Length: 3\r\n\r\none");
        assertEquals(FailureStage.ANSWER_CUT.name(), nextOutcome());
        assertEquals(-1, accepted.getInputStream().read());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 \r\n",
                "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n",
                "HTTP/1.1 200 \u00e9t\u00e9\r\n",
                "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: \u00e9\t,\r\nEmpty:\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
            })
    void answerWithUnusualHeadIsRead(String beginning) throws Exception {
        send("1");
        Socket accepted = accept();
        readRequest(accepted);
        String answer = beginning + "Id: 1\r\nContent-Length: 3\r\n\r\none";
        for (char character : answer.toCharArray()) {
            write(accepted, String.valueOf(character));
        }
        assertEquals("200 one", nextOutcome());
    }

    /** Guards against a body that is still encoded when it is passed on without its transfer encoding. */
    @Test
    void answerWithUnknownTransferEncodingIsNoAnswer() throws Exception {
        send("1");
        Socket accepted = accept();
        readRequest(accepted);
        write(accepted, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n1\r\na\r\n0\r\n\r\n");
        assertEquals(FailureStage.ANSWER_CUT.name(), nextOutcome());
    }

    /** Bytes that are only the beginning of a message must not be joined with the next response. */
    @Test
    void connectionIsNotUsedAgainAfterIncompleteSurplusBytes() throws Exception {
        send("1");
        Socket accepted = accept();
        readRequest(accepted);
        write(accepted, head("1", 3) + "one" + "HTTP/1.1 200 OK\r\nId: 2");
        assertEquals("200 one", nextOutcome());
        awaitEventLoop();
        send("2");
        answer(accept(), "2", "two");
        assertEquals("200 two", nextOutcome());
    }

    /** The beginning of a second copy of an answer must not stay on an idle connection. */
    @Test
    void connectionIsNotUsedAgainAfterIncompleteBytesWhileItWasIdle() throws Exception {
        send("1");
        Socket accepted = accept();
        answer(accepted, "1", "one");
        assertEquals("200 one", nextOutcome());
        awaitEventLoop();
        write(accepted, "HTTP/1.1 200 OK\r\nId: 1");
        awaitEventLoop();
        send("2");
        answer(accept(), "2", "two");
        assertEquals("200 two", nextOutcome());
    }

    /** A body without end must not fill the memory. */
    @Test
    void bodyWithoutEndIsGivenUpAtTheLimit() throws Exception {
        limit(new BackendConnections.Limits(100_000, 1_000_000));
        send("1");
        Socket accepted = accept();
        readRequest(accepted);
        write(accepted, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeUntilClosed(accepted, "2710\r\n" + "x".repeat(10_000) + "\r\n");
        assertEquals(FailureStage.ANSWER_TOO_LARGE.name(), nextOutcome());
    }

    /** Many large bodies at once must not fill the memory either; the largest is given up, the others arrive. */
    @Test
    void largestIncompleteBodyIsGivenUpAtTheTotalLimit() throws Exception {
        limit(new BackendConnections.Limits(1_000_000, 200_000));
        send("1");
        Socket small = accept();
        readRequest(small);
        write(small, head("1", 60_000) + "s".repeat(50_000));
        awaitEventLoop();
        send("2");
        Socket large = accept();
        readRequest(large);
        writeUntilClosed(large, head("2", 900_000) + "l".repeat(300_000));
        assertEquals(FailureStage.ANSWER_TOO_LARGE.name(), nextOutcome());
        write(small, "s".repeat(10_000));
        assertEquals("200 " + "s".repeat(60_000), nextOutcome());
    }

    /** Lines and heads without end must not fill the memory. */
    @Test
    void headWithoutEndIsGivenUp() throws Exception {
        send("1");
        Socket accepted = accept();
        readRequest(accepted);
        write(accepted, "HTTP/1.1 200 OK\r\n");
        writeUntilClosed(accepted, "Name: " + "v".repeat(1_000) + "\r\n");
        assertEquals(FailureStage.ANSWER_CUT.name(), nextOutcome());
        send("2");
        Socket other = accept();
        readRequest(other);
        writeUntilClosed(other, "x".repeat(1_000));
        assertEquals(FailureStage.ANSWER_CUT.name(), nextOutcome());
    }

    /**
     * Each caller gets the answer to its own request, whatever a server sends besides it: copies of earlier answers,
     * whole or cut, before, after and between the answers.
     */
    @Test
    void noCallerGetsAnotherAnswerWhateverTheServerRepeats() throws Exception {
        long seed = Long.getLong("seed", 20_261_205);
        Random random = new Random(seed);
        server.setSoTimeout(0);
        Thread repeating = new Thread(() -> serveWithRepeats(random), "repeating-server");
        repeating.setDaemon(true);
        repeating.start();
        int answered = 0;
        for (int number = 0; number < REPEATED_REQUESTS; number++) {
            BackendConnections.Exchange exchange = send("r" + number);
            String outcome = outcomes.poll(1, TimeUnit.SECONDS);
            if (outcome == null) {
                // Bytes in front of the answer have made it unreadable; a node gives up at the deadline.
                loops.next()
                        .submit(() -> exchange.abort(FailureStage.TIMED_OUT, "no answer"))
                        .sync();
                outcome = nextOutcome();
            }
            if (outcome.startsWith("200 ")) {
                assertEquals("200 body of r" + number, outcome, "seed " + seed);
                answered++;
            }
        }
        assertTrue(answered > REPEATED_REQUESTS / 2, "seed " + seed + ": only " + answered + " requests were answered");
    }

    /** Serves each connection by a thread of its own until it is closed. */
    private void serveWithRepeats(Random random) {
        try {
            while (!server.isClosed()) {
                Socket accepted = server.accept();
                accepted.setTcpNoDelay(true);
                Random own = new Random(random.nextLong());
                Thread thread = new Thread(() -> answerWithRepeats(accepted, own), "repeating-connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException closed) {
            return;
        }
    }

    private static void answerWithRepeats(Socket accepted, Random random) {
        String last = "";
        try (accepted) {
            while (true) {
                String request = readRequest(accepted);
                String id = request.substring(request.indexOf("Id: ") + 4).split("\r")[0];
                String body = "body of " + id;
                String own = head(id, body.length()) + body;
                String extra = random.nextBoolean() ? last : own;
                String sent =
                        switch (random.nextInt(8)) {
                            case 0 -> extra + own;
                            case 1 -> own + extra;
                            case 2 -> own + extra.substring(0, random.nextInt(extra.length() + 1));
                            case 3 -> "HTTP/1.1 100 Continue\r\n\r\n" + own;
                            default -> own;
                        };
                int split = random.nextInt(sent.length());
                write(accepted, sent.substring(0, split));
                write(accepted, sent.substring(split));
                if (random.nextInt(8) == 0) {
                    Thread.sleep(random.nextInt(3));
                    write(accepted, extra.substring(0, random.nextInt(extra.length() + 1)));
                }
                last = own;
            }
        } catch (IOException | InterruptedException closed) {
            return;
        }
    }

    private void limit(BackendConnections.Limits limits) {
        connections.close();
        connections = new BackendConnections(
                loops.next(), new InetSocketAddress("127.0.0.1", server.getLocalPort()), System::nanoTime, limits);
    }

    /** Writes a text again and again until the other side closes the connection, or fails after 100 MB. */
    private static void writeUntilClosed(Socket accepted, String text) {
        try {
            for (int written = 0; written < 100_000_000; written += text.length()) {
                write(accepted, text);
            }
        } catch (IOException closed) {
            return;
        }
        throw new AssertionError("the connection takes bytes without end");
    }

    private BackendConnections.Exchange send(String id) throws Exception {
        BufferedHttpRequest httpRequest = new BufferedHttpRequest(
                "GET", "/a", List.of(new Header("Host", "h"), new Header("Id", id)), new byte[0], 0);
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

    private static String readRequest(Socket accepted) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf("\r\n\r\n") < 0) {
            int next = accepted.getInputStream().read();
            if (next < 0) {
                throw new IOException("the connection closed within a request: " + read);
            }
            read.append((char) next);
        }
        return read.toString();
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
