package org.plantainshunt.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.server.RatpackServer;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Documents the limitations of Ratpack's server that {@link PipelinedServer} exists to avoid.
 *
 * <p>If one of these tests fails after an upgrade of Ratpack, the limitation may have been removed.
 */
class RatpackLimitsTest {
    private static final int TIMEOUT_SECONDS = 10;
    /** Many times longer than the server needs to process bytes that have arrived over loopback. */
    private static final long QUIET_MILLISECONDS = 500;

    private final BlockingQueue<Running> running = new LinkedBlockingQueue<>();
    private RatpackServer server;

    private record Running(String path, Downstream<? super String> answer, CountDownLatch closed) {}

    @BeforeEach
    void start() throws Exception {
        server =
                RatpackServer.start(spec -> spec.serverConfig(config -> config.address(InetAddress.getLoopbackAddress())
                                .port(0)
                                .threads(1)
                                .development(false)
                                .registerShutdownHook(false))
                        .handlers(chain -> chain.all(context -> {
                            CountDownLatch closed = new CountDownLatch(1);
                            context.onClose(outcome -> closed.countDown());
                            String path = context.getRequest().getPath();
                            Promise.<String>async(answer -> running.add(new Running(path, answer, closed)))
                                    .then(text -> context.getResponse().send(text));
                        })));
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
    }

    /** A caller that pipelines requests takes the response to the second for the response to the first. */
    @Test
    void responsesToPipelinedRequestsAreReordered() throws Exception {
        try (Socket caller = connect()) {
            send(caller, get("/one") + get("/two"));
            Running one = running.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            Running two = running.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            two.answer().success("second");
            String answer = readUntil(caller, "second");
            one.answer().success("first");
            assertTrue(!answer.contains("first"), answer);
        }
    }

    /** A request keeps running after its caller has disconnected. */
    @Test
    void handlerIsNotNotifiedOfCallerDisconnect() throws Exception {
        Running request;
        try (Socket caller = connect()) {
            send(caller, get("/long"));
            request = running.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
        boolean notified = request.closed().await(QUIET_MILLISECONDS, TimeUnit.MILLISECONDS);
        request.answer().success("late");
        assertTrue(!notified, "the handler was notified");
    }

    private Socket connect() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), server.getBindPort());
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private static String readUntil(Socket caller, String last) throws IOException {
        caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        StringBuilder read = new StringBuilder();
        while (read.indexOf(last) < 0) {
            int next = caller.getInputStream().read();
            if (next < 0) {
                throw new IOException("closed after: " + read);
            }
            read.append((char) next);
        }
        return read.toString();
    }

    private static void send(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }
}
