package org.plantainshunt.protocol;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.plantainshunt.protocol.wire.Frame;
import org.plantainshunt.protocol.wire.HandshakeRefused;
import org.plantainshunt.protocol.wire.Hello;
import org.plantainshunt.protocol.wire.Welcome;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that peers without the secret, with another protocol version or with an unfinished handshake are rejected. */
class HandshakeTest {
    private FakeNode node;

    @BeforeEach
    void start() throws IOException {
        node = new FakeNode("vm-node");
    }

    @AfterEach
    void stop() {
        node.close();
    }

    @Test
    void wrongSecretIsRefused() throws Exception {
        try (FakeNode stranger = new FakeNode("vm-stranger", "other secret")) {
            assertEquals(ResultCode.PROTOCOL_AUTHENTICATION_FAILED, failure(stranger, node.port));
        }
        assertTrue(node.events.isEmpty());
    }

    @Test
    void otherVersionOfTheConnectingSideIsRefused() throws Exception {
        try (RawPeer peer = RawPeer.connect(node.port)) {
            peer.send(peer.hello(Frames.VERSION + 1, peer.read().getChallenge().getNonce()));
            HandshakeRefused refused = peer.read().getHandshakeRefused();
            assertEquals(ResultCode.PROTOCOL_VERSION_MISMATCH.number(), refused.getCode());
            peer.awaitClosed();
        }
    }

    @Test
    void otherVersionOfTheAcceptingSideIsRefused() throws Exception {
        ResultCode code = failureOf(peer -> peer.send(peer.challenge(Frames.VERSION + 1)));
        assertEquals(ResultCode.PROTOCOL_VERSION_MISMATCH, code);
    }

    @Test
    void acceptingSideWithoutTheSecretIsNotTrusted() throws Exception {
        ResultCode code = failureOf(peer -> {
            peer.send(peer.challenge(Frames.VERSION));
            Hello hello = peer.read().getHello();
            Welcome.Builder reflected =
                    Welcome.newBuilder().setIdentity(hello.getIdentity()).setMac(hello.getMac());
            peer.send(Frame.newBuilder().setWelcome(reflected).build());
        });
        assertEquals(ResultCode.PROTOCOL_AUTHENTICATION_FAILED, code);
        assertTrue(node.events.isEmpty());
    }

    @Test
    void garbageFromAcceptingSideFailsTheConnection() throws Exception {
        byte[] garbage = new byte[200];
        new Random(1).nextBytes(garbage);
        assertEquals(ResultCode.CONNECT_FAILED, failureOf(peer -> peer.send(garbage)));
    }

    /** Guards against replay: without a new nonce for each connection, a recorded handshake would be accepted again. */
    @Test
    void proofOfAnotherConnectionIsRefused() throws Exception {
        try (RawPeer recorded = RawPeer.connect(node.port);
                RawPeer peer = RawPeer.connect(node.port)) {
            Frame hello = recorded.hello(
                    Frames.VERSION, recorded.read().getChallenge().getNonce());
            peer.read();
            peer.send(hello);
            HandshakeRefused refused = peer.read().getHandshakeRefused();
            assertEquals(ResultCode.PROTOCOL_AUTHENTICATION_FAILED.number(), refused.getCode());
        }
    }

    @Test
    void peerThatDoesNotFinishIsClosed() throws Exception {
        long start = System.nanoTime();
        try (ServerSocket server = RawPeer.listen();
                RawPeer connecting = RawPeer.connect(node.port)) {
            CompletableFuture<InnerConnection> accepting = node.endpoint.connect("127.0.0.1", server.getLocalPort());
            connecting.awaitClosed();
            assertEquals(ResultCode.CONNECT_FAILED, failure(accepting));
        }
        long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - start);
        assertTrue(seconds >= 2 && seconds <= 5, "closed after " + seconds + " s");
    }

    @Test
    void unauthenticatedPeerIsClosedOnLargeFrameLength() throws Exception {
        try (RawPeer peer = RawPeer.connect(node.port)) {
            long start = System.nanoTime();
            peer.send(new byte[] {0, 0, 4, 1});
            peer.awaitClosed();
            assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(2));
        }
    }

    @Test
    void callBeforeTheHandshakeIsNotAccepted() throws Exception {
        try (RawPeer peer = RawPeer.connect(node.port)) {
            peer.read();
            peer.send(RecordingHandler.callStart(1, 0, 1_000));
            peer.awaitClosed();
        }
        assertTrue(node.calls.isEmpty());
    }

    @Test
    void closedPortFailsTheConnection() throws Exception {
        int port;
        try (ServerSocket server = RawPeer.listen()) {
            port = server.getLocalPort();
        }
        assertEquals(ResultCode.CONNECT_FAILED, failure(node, port));
    }

    /** Returns how a connection with a peer on a plain socket fails. */
    private ResultCode failureOf(AcceptingSide behaviour) throws Exception {
        try (ServerSocket server = RawPeer.listen()) {
            CompletableFuture<InnerConnection> connecting = node.endpoint.connect("127.0.0.1", server.getLocalPort());
            try (RawPeer peer = new RawPeer(server.accept())) {
                behaviour.run(peer);
                peer.awaitClosed();
                return failure(connecting);
            }
        }
    }

    private interface AcceptingSide {
        void run(RawPeer peer) throws IOException;
    }

    private static ResultCode failure(FakeNode from, int port) {
        return failure(from.endpoint.connect("127.0.0.1", port));
    }

    private static ResultCode failure(CompletableFuture<InnerConnection> connecting) {
        ExecutionException exception =
                assertThrows(ExecutionException.class, () -> connecting.get(8, TimeUnit.SECONDS));
        return ((ProtocolException) exception.getCause()).code();
    }
}
