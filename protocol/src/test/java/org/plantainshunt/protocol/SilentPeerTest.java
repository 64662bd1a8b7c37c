package org.plantainshunt.protocol;

import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.plantainshunt.protocol.RecordingHandler.Outcome;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against calls that stay open for minutes after their peer disappears without closing the connection. */
class SilentPeerTest {
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
}
