package org.plantainshunt.protocol;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.plantainshunt.protocol.RecordingHandler.Outcome;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that truncated or corrupt frames from an authenticated peer close its connection and affect no other. */
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
        byte[] bytes = RawPeer.encode(RecordingHandler.callStart(1, 0, 1_000));
        try (RawPeer peer = RawPeer.connectAuthenticated(node.port)) {
            peer.send(Arrays.copyOf(bytes, bytes.length - 1));
        }
        node.awaitEvent("disconnected vm-raw");
        assertTrue(node.calls.isEmpty());
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

    /** Ignores send failures, because the endpoint may close the connection after the first message. */
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
