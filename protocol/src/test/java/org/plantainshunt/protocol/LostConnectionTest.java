package org.plantainshunt.protocol;

import java.util.List;
import java.util.zip.CRC32C;

import com.google.protobuf.ByteString;
import io.netty.handler.timeout.IdleStateEvent;
import org.junit.jupiter.api.Test;
import org.plantainshunt.protocol.RecordingHandler.Outcome;
import org.plantainshunt.protocol.wire.AnswerEnd;
import org.plantainshunt.protocol.wire.CallEnd;
import org.plantainshunt.protocol.wire.Chunk;
import org.plantainshunt.protocol.wire.Frame;
import org.plantainshunt.protocol.wire.Ping;
import org.plantainshunt.protocol.wire.Pong;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards the honesty of what is reported when a connection ends at each stage of a call. */
class LostConnectionTest {
    private static final byte[] NOTHING = new byte[0];

    private final EmbeddedPeer peer = new EmbeddedPeer(1);
    private final Outcome outcome = new Outcome();

    @Test
    void callThatWasNeverSentIsNotRun() throws Exception {
        peer.blockAfter(0);
        call(NOTHING);
        assertTrue(peer.sent().isEmpty());
        peer.cut();
        assertEquals(ResultCode.CONNECT_FAILED, outcome.code());
        assertEquals(3, outcome.refusal().unusedAllowance());
        assertFalse(outcome.refusal().fromServingNode());
    }

    @Test
    void callOnLostConnectionIsNotRun() throws Exception {
        peer.cut();
        call(NOTHING);
        assertEquals(ResultCode.CONNECT_FAILED, outcome.code());
    }

    @Test
    void partlySentCallIsUnknown() throws Exception {
        peer.blockAfter(1);
        call(new byte[100_000]);
        assertEquals(2, peer.sent().size());
        peer.cut();
        assertEquals(ResultCode.OUTCOME_UNKNOWN, outcome.code());
        assertEquals(0, outcome.refusal().unusedAllowance());
    }

    @Test
    void sentCallIsUnknown() throws Exception {
        call(NOTHING);
        peer.sent();
        peer.cut();
        assertEquals(ResultCode.OUTCOME_UNKNOWN, outcome.code());
    }

    @Test
    void begunAnswerIsCut() throws Exception {
        call(NOTHING);
        peer.sent();
        beginAnswer(new byte[20], 20);
        peer.cut();
        assertEquals(ResultCode.ANSWER_CUT, outcome.code());
    }

    @Test
    void shortAnswerIsCutAndNeverPassedOn() throws Exception {
        call(NOTHING);
        peer.sent();
        beginAnswer(new byte[19], 20);
        CRC32C checksumOfPaddedBody = new CRC32C();
        checksumOfPaddedBody.update(new byte[20]);
        endAnswer((int) checksumOfPaddedBody.getValue());
        assertEquals(ResultCode.ANSWER_CUT, outcome.code());
        assertFalse(peer.connection.isOpen());
    }

    @Test
    void longAnswerIsCutAndNeverPassedOn() throws Exception {
        call(NOTHING);
        peer.sent();
        beginAnswer(new byte[21], 20);
        assertEquals(ResultCode.ANSWER_CUT, outcome.code());
    }

    @Test
    void damagedAnswerIsCutAndNeverPassedOn() throws Exception {
        call(NOTHING);
        peer.sent();
        beginAnswer(new byte[20], 20);
        endAnswer(12_345);
        assertEquals(ResultCode.ANSWER_CUT, outcome.code());
        assertFalse(peer.connection.isOpen());
    }

    @Test
    void failingListenerDoesNotKeepOtherCallsOpen() throws Exception {
        AnswerListener failing = new AnswerListener() {
            @Override
            public void answered(AnswerMessage answer) {
                throw new IllegalStateException("answered");
            }

            @Override
            public void refused(RefusalMessage refusal) {
                throw new IllegalStateException("refused");
            }
        };
        peer.connection.call(RecordingHandler.message("/", NOTHING), failing);
        call(NOTHING);
        peer.connection.call(RecordingHandler.message("/", NOTHING), failing);
        peer.cut();
        assertEquals(ResultCode.OUTCOME_UNKNOWN, outcome.code());
    }

    @Test
    void openTicketRequestIsNotRun() throws Exception {
        peer.connection.requestTicket("recorder", "push", outcome);
        peer.sent();
        peer.cut();
        assertEquals(ResultCode.CONNECT_FAILED, ((Refusal) outcome.await()).code());
    }

    @Test
    void callsOfLostPeerAreCancelledAndHalfCallsForgotten() throws Exception {
        receiveCall(2, "/whole", 0);
        receiveCall(4, "/half", 10);
        peer.receive(callEnd(2, 0));
        peer.cut();
        assertEquals("/whole", peer.handler.nextCall().message().path());
        peer.handler.awaitEvent("cancelled /whole");
        assertTrue(peer.handler.calls.isEmpty());
    }

    @Test
    void damagedCallIsNotHandedOver() {
        receiveCall(2, "/", 3);
        peer.receive(chunk(2, new byte[3]));
        peer.receive(callEnd(2, 12_345));
        assertTrue(peer.handler.calls.isEmpty());
        assertFalse(peer.connection.isOpen());
    }

    @Test
    void silentPeerIsAskedAndThenGivenUp() throws Exception {
        fallSilent();
        assertTrue(peer.sent().isEmpty(), "an idle connection causes no traffic");
        call(NOTHING);
        peer.sent();
        fallSilent();
        assertEquals(
                List.of(Frame.newBuilder().setPing(Ping.getDefaultInstance()).build()), peer.sent());
        peer.receive(Frame.newBuilder().setPong(Pong.getDefaultInstance()).build());
        fallSilent();
        assertTrue(peer.connection.isOpen());
        fallSilent();
        assertFalse(peer.connection.isOpen());
        assertEquals(ResultCode.OUTCOME_UNKNOWN, outcome.code());
    }

    private void fallSilent() {
        peer.channel.pipeline().fireUserEventTriggered(IdleStateEvent.READER_IDLE_STATE_EVENT);
        peer.channel.runPendingTasks();
    }

    private void call(byte[] body) {
        peer.connection.call(RecordingHandler.message("/", body), outcome);
        peer.channel.runPendingTasks();
    }

    private void beginAnswer(byte[] body, int announced) {
        peer.receive(Wire.answerStart(1, RecordingHandler.answerMessage(new byte[announced])));
        peer.receive(chunk(1, body));
    }

    private void endAnswer(int checksum) {
        peer.receive(Frame.newBuilder()
                .setAnswerEnd(AnswerEnd.newBuilder().setCall(1).setCrc32C(checksum))
                .build());
    }

    private void receiveCall(long number, String path, int bodyLength) {
        peer.receive(Wire.callStart(number, RecordingHandler.message(path, new byte[bodyLength]), 1_000));
    }

    private static Frame chunk(long number, byte[] data) {
        return Frame.newBuilder()
                .setChunk(Chunk.newBuilder().setCall(number).setData(ByteString.copyFrom(data)))
                .build();
    }

    private static Frame callEnd(long number, int checksum) {
        return Frame.newBuilder()
                .setCallEnd(CallEnd.newBuilder().setCall(number).setCrc32C(checksum))
                .build();
    }
}
