package org.plantainshunt.protocol;

import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.plantainshunt.protocol.RecordingHandler.Outcome;
import org.plantainshunt.protocol.wire.AnswerEnd;
import org.plantainshunt.protocol.wire.AnswerStart;
import org.plantainshunt.protocol.wire.Frame;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against calls that stay open for minutes after their peer disappears without closing the connection, and
 * against giving up work that must not run again because its peer is only paused.
 */
class SilentPeerTest {
    private static final long SILENCE_MILLISECONDS = 3_000;

    @Test
    void callToVanishedPeerEndsWithinTwoKeepAliveIntervals() throws Exception {
        try (FakeNode node = new FakeNode("vm-node");
                ServerSocket server = RawPeer.listen()) {
            CompletableFuture<InnerConnection> connecting = node.endpoint.connect("127.0.0.1", server.getLocalPort());
            try (RawPeer peer = RawPeer.acceptAuthenticated(server)) {
                InnerConnection connection = connecting.get(5, TimeUnit.SECONDS);
                assertEquals("vm-raw", connection.peerVm());
                Outcome outcome = new Outcome();
                connection.call(RecordingHandler.message("/", new byte[0]), outcome);
                assertEquals(ResultCode.OUTCOME_UNKNOWN, outcome.code());
                assertFalse(connection.isOpen());
                assertTrue(peer.read().hasCallStart());
            }
        }
    }

    @Test
    void callThatMustNotRunAgainWaitsForThePausedPeer() throws Exception {
        try (FakeNode node = new FakeNode("vm-node");
                ServerSocket server = RawPeer.listen()) {
            CompletableFuture<InnerConnection> connecting = node.endpoint.connect("127.0.0.1", server.getLocalPort());
            try (RawPeer peer = RawPeer.acceptAuthenticated(server)) {
                InnerConnection connection = connecting.get(5, TimeUnit.SECONDS);
                Outcome repeatable = new Outcome();
                WaitingOutcome waiting = new WaitingOutcome();
                connection.call(RecordingHandler.message("/repeatable", new byte[0]), repeatable);
                connection.call(RecordingHandler.message("/once", new byte[0]), waiting);
                assertEquals(ResultCode.OUTCOME_UNKNOWN, repeatable.code());
                assertFalse(connection.isOpen(), "the silent peer gets new calls");
                TimeUnit.MILLISECONDS.sleep(SILENCE_MILLISECONDS);
                assertFalse(waiting.outcome.isDone(), "the call was given up");
                answer(peer, numberOf(peer, "/once"));
                assertEquals(ResultCode.ANSWERED, waiting.outcome.answer().code());
                assertTrue(connection.isOpen());
            }
        }
    }

    @Test
    void callToVanishedPeerEndsAtItsDeadlineAtTheLatest() throws Exception {
        try (FakeNode node = new FakeNode("vm-node");
                ServerSocket server = RawPeer.listen()) {
            CompletableFuture<InnerConnection> connecting = node.endpoint.connect("127.0.0.1", server.getLocalPort());
            try (RawPeer peer = RawPeer.acceptAuthenticated(server)) {
                InnerConnection connection = connecting.get(5, TimeUnit.SECONDS);
                WaitingOutcome waiting = new WaitingOutcome();
                connection.call(RecordingHandler.message("/once", new byte[0], 2_000), waiting);
                assertEquals(ResultCode.OUTCOME_UNKNOWN, waiting.outcome.code());
                assertFalse(connection.isOpen());
                assertTrue(peer.read().hasCallStart());
            }
        }
    }

    /** Reads frames until the start of the call with a path, and returns the call's number. */
    private static long numberOf(RawPeer peer, String path) throws Exception {
        while (true) {
            Frame frame = peer.read();
            if (frame.hasCallStart() && frame.getCallStart().getPath().equals(path)) {
                return frame.getCallStart().getCall();
            }
        }
    }

    private static void answer(RawPeer peer, long call) throws Exception {
        peer.send(Frame.newBuilder()
                .setAnswerStart(AnswerStart.newBuilder()
                        .setCall(call)
                        .setCode(ResultCode.ANSWERED.number())
                        .setStatus(200))
                .build());
        peer.send(Frame.newBuilder()
                .setAnswerEnd(AnswerEnd.newBuilder().setCall(call))
                .build());
    }

    /** Records the end of a call that waits for a silent peer. */
    private static final class WaitingOutcome implements AnswerListener {
        private final Outcome outcome = new Outcome();

        @Override
        public void answered(AnswerMessage answer) {
            outcome.answered(answer);
        }

        @Override
        public void refused(RefusalMessage refusal) {
            outcome.refused(refusal);
        }

        @Override
        public boolean waitsForSilentPeer() {
            return true;
        }
    }
}
