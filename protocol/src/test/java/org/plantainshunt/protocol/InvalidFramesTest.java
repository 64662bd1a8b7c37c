package org.plantainshunt.protocol;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.plantainshunt.protocol.RecordingHandler.Outcome;
import org.plantainshunt.protocol.wire.Frame;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against an authenticated peer whose bytes are cut or damaged, and the harm it could do to other peers. */
class InvalidFramesTest {
    private FakeNode node;
    private FakeNode other;
    private InnerConnection healthy;

    @BeforeEach
    void start() throws Exception {
        node = new FakeNode("vm-node");
        other = new FakeNode("vm-other");
        healthy = other.connectTo(node);
    }

    @AfterEach
    void stop() {
        node.close();
        other.close();
    }

    @Test
    void oversizedFrameClosesItsConnectionOnly() throws Exception {
        assertClosedBy(ByteBuffer.allocate(4).putInt(Frames.MAXIMUM_BYTES + 1).array());
        assertClosedBy(ByteBuffer.allocate(4).putInt(-1).array());
        assertClosedBy(new byte[4]);
    }

    @Test
    void garbageClosesItsConnectionOnly() throws Exception {
        Random random = new Random(7);
        for (int i = 0; i < 20; i++) {
            byte[] garbage = new byte[random.nextInt(1, 2_000)];
            random.nextBytes(garbage);
            assertClosedBy(
                    ByteBuffer.allocate(4 + garbage.length)
                            .putInt(garbage.length)
                            .put(garbage)
                            .array(),
                    garbage,
                    ByteBuffer.allocate(4).putInt(-1).array());
        }
    }

    @Test
    void truncatedFrameIsNoCall() throws Exception {
        Frame start = Wire.callStart(1, RecordingHandler.message("/", new byte[0]), 1_000);
        byte[] bytes = RawPeer.encode(start);
        try (RawPeer peer = RawPeer.connectAuthenticated(node.port)) {
            peer.send(Arrays.copyOf(bytes, bytes.length - 1));
        }
        node.awaitEvent("disconnected vm-raw");
        assertTrue(node.calls.isEmpty());
        assertHealthy();
    }

    @Test
    void cutInMidAnswerIsReportedAsCut() throws Exception {
        try (ServerSocket server = RawPeer.listen()) {
            CompletableFuture<InnerConnection> connecting = node.endpoint.connect("127.0.0.1", server.getLocalPort());
            Outcome begun = new Outcome();
            Outcome sent = new Outcome();
            try (RawPeer peer = RawPeer.acceptAuthenticated(server)) {
                InnerConnection connection = connecting.get(5, TimeUnit.SECONDS);
                connection.call(RecordingHandler.message("/begun", new byte[0]), begun);
                connection.call(RecordingHandler.message("/sent", new byte[0]), sent);
                long number = peer.read().getCallStart().getCall();
                peer.read();
                peer.read();
                peer.send(Wire.answerStart(number, RecordingHandler.answerMessage(new byte[10])));
            }
            assertEquals(ResultCode.ANSWER_CUT, begun.code());
            assertEquals(ResultCode.OUTCOME_UNKNOWN, sent.code());
        }
        assertHealthy();
    }

    private void assertClosedBy(byte[]... messages) throws Exception {
        try (RawPeer peer = RawPeer.connectAuthenticated(node.port)) {
            sendUntilClosed(peer, messages);
            peer.awaitClosed();
        }
        node.awaitEvent("disconnected vm-raw");
        assertTrue(node.calls.isEmpty());
        assertHealthy();
    }

    /** The endpoint may close at the first message, so that the rest cannot be sent. */
    private static void sendUntilClosed(RawPeer peer, byte[]... messages) {
        try {
            for (byte[] message : messages) {
                peer.send(message);
            }
        } catch (IOException closed) {
            return;
        }
    }

    private void assertHealthy() throws Exception {
        Outcome outcome = new Outcome();
        healthy.call(RecordingHandler.message("/", new byte[0]), outcome);
        node.nextCall().answer(new byte[3]);
        assertEquals(3, outcome.answer().body().length);
    }
}
