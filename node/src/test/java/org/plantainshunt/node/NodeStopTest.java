package org.plantainshunt.node;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Stops a node while callers are connected, over raw sockets. */
@Timeout(60)
class NodeStopTest {
    /** More than the socket buffers of a connection hold. */
    private static final int BODY_CHARACTERS = 8 * 1024 * 1024;
    /** Left in the node's socket buffer when the caller sends again. */
    private static final int UNREAD_CHARACTERS = 256 * 1024;

    private static final int TIMEOUT_SECONDS = 20;

    /** Guards against a reset that discards what a slow caller has not read when it sends its next request. */
    @Test
    void slowCallerThatSendsAgainGetsItsWholeAnswer() throws Exception {
        CountDownLatch draining = new CountDownLatch(1);
        NodeUnderTest fixture = new NodeUnderTest((request, out) -> answer(request, out, draining), Optional.empty());
        CompletableFuture<Void> stopped;
        try (RawCaller caller = fixture.caller()) {
            caller.send(RawCaller.post("/front/wait/a", ""));
            NodeUnderTest.await(
                    () -> !fixture.backendServer.received("POST", "/wait/a").isEmpty());
            stopped = CompletableFuture.runAsync(() -> close(fixture));
            TimeUnit.MILLISECONDS.sleep(200);
            draining.countDown();
            assertEquals(BODY_CHARACTERS, caller.readInTwoParts(UNREAD_CHARACTERS, () -> {
                TimeUnit.MILLISECONDS.sleep(300);
                caller.send(RawCaller.post("/front/wait/b", ""));
                TimeUnit.MILLISECONDS.sleep(300);
            }));
        }
        stopped.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against a stop that waits without an end for a caller that neither reads nor closes. */
    @Test
    void callerThatNeverClosesDoesNotHoldUpTheStop() throws Exception {
        NodeUnderTest fixture =
                new NodeUnderTest((request, out) -> NodeUnderTest.answer(out, "short"), Optional.empty());
        try (RawCaller caller = fixture.caller()) {
            caller.send(RawCaller.post("/front/wait/a", "")).read();
            CompletableFuture.runAsync(() -> close(fixture)).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static boolean answer(FakeHttpServer.Request request, OutputStream out, CountDownLatch draining)
            throws IOException {
        if (!request.path().startsWith("/wait")) {
            return NodeUnderTest.answer(out, "");
        }
        try {
            draining.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return NodeUnderTest.answer(out, "x".repeat(BODY_CHARACTERS));
    }

    private static void close(NodeUnderTest fixture) {
        try {
            fixture.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
