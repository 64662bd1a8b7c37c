package org.plantainshunt.protocol;

import java.util.List;
import java.util.zip.CRC32C;

import io.netty.handler.timeout.IdleStateEvent;
import org.junit.jupiter.api.Test;
import org.plantainshunt.protocol.RecordingHandler.Outcome;
import org.plantainshunt.protocol.wire.AnswerEnd;
import org.plantainshunt.protocol.wire.Frame;
import org.plantainshunt.protocol.wire.Ping;
import org.plantainshunt.protocol.wire.Pong;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the result code that is reported when a connection is lost at each stage of a call. */
class LostConnectionTest {
    private static final byte[] EMPTY_BODY = new byte[0];

    private final EmbeddedConnection embedded = new EmbeddedConnection(1);
    private final Outcome outcome = new Outcome();

    @Test
    void callThatWasNeverSentIsNotRun() throws Exception {
        embedded.blockAfter(0);
        call(EMPTY_BODY);
        assertTrue(embedded.sent().isEmpty());
        embedded.disconnect();
        assertEquals(ResultCode.CONNECT_FAILED, outcome.code());
        assertEquals(3, outcome.refusal().unusedAllowance());
        assertFalse(outcome.refusal().fromServingNode());
    }

    @Test
    void callOnLostConnectionIsNotRun() throws Exception {
        embedded.disconnect();
        call(EMPTY_BODY);
        assertEquals(ResultCode.CONNECT_FAILED, outcome.code());
    }

    @Test
    void partlySentCallHasUnknownOutcome() throws Exception {
        embedded.blockAfter(1);
        call(new byte[100_000]);
        assertEquals(2, embedded.sent().size());
        embedded.disconnect();
        assertEquals(ResultCode.OUTCOME_UNKNOWN, outcome.code());
        assertEquals(0, outcome.refusal().unusedAllowance());
    }

    @Test
    void sentCallHasUnknownOutcome() throws Exception {
        call(EMPTY_BODY);
        embedded.sent();
        embedded.disconnect();
        assertEquals(ResultCode.OUTCOME_UNKNOWN, outcome.code());
    }

    @Test
    void startedAnswerIsCut() throws Exception {
        callAndStartAnswer(20);
        embedded.disconnect();
        assertEquals(ResultCode.ANSWER_CUT, outcome.code());
    }

    @Test
    void shortAnswerIsCutAndNeverDelivered() throws Exception {
        CRC32C checksumOfPaddedBody = new CRC32C();
        checksumOfPaddedBody.update(new byte[20]);
        callAndStartAnswer(19);
        endAnswer((int) checksumOfPaddedBody.getValue());
        assertCut();
    }

    @Test
    void longAnswerIsCutAndNeverDelivered() throws Exception {
        callAndStartAnswer(21);
        assertCut();
    }

    @Test
    void damagedAnswerIsCutAndNeverDelivered() throws Exception {
        callAndStartAnswer(20);
        endAnswer(12_345);
        assertCut();
    }

    @Test
    void failingListenerDoesNotKeepOtherCallsOpen() throws Exception {
        embedded.connection.call(RecordingHandler.message("/", EMPTY_BODY), new FailingListener());
        call(EMPTY_BODY);
        embedded.connection.call(RecordingHandler.message("/", EMPTY_BODY), new FailingListener());
        embedded.disconnect();
        assertEquals(ResultCode.OUTCOME_UNKNOWN, outcome.code());
    }

    @Test
    void openTicketRequestIsNotRun() throws Exception {
        embedded.connection.requestTicket("recorder", "push", outcome);
        embedded.sent();
        embedded.disconnect();
        assertEquals(ResultCode.CONNECT_FAILED, ((Refusal) outcome.await()).code());
    }

    @Test
    void callsOfLostPeerAreCancelledAndPartlyReceivedCallsDropped() throws Exception {
        embedded.receive(
                RecordingHandler.callStart(2, 0, 1_000),
                RecordingHandler.callStart(4, 10, 1_000),
                EmbeddedConnection.callEnd(2, 0));
        embedded.disconnect();
        assertEquals("/2", embedded.handler.nextCall().message().path());
        embedded.handler.awaitEvent("cancelled /2");
        assertTrue(embedded.handler.calls.isEmpty());
    }

    @Test
    void damagedCallIsNotPassedToHandler() {
        embedded.receive(
                RecordingHandler.callStart(2, 3, 1_000),
                EmbeddedConnection.chunk(2, 3),
                EmbeddedConnection.callEnd(2, 12_345));
        assertTrue(embedded.handler.calls.isEmpty());
        assertFalse(embedded.connection.isOpen());
    }

    @Test
    void silentPeerIsPingedAndThenDisconnected() throws Exception {
        fireReaderIdle();
        assertTrue(embedded.sent().isEmpty(), "an idle connection causes no traffic");
        call(EMPTY_BODY);
        embedded.sent();
        fireReaderIdle();
        assertEquals(
                List.of(Frame.newBuilder().setPing(Ping.getDefaultInstance()).build()), embedded.sent());
        embedded.receive(Frame.newBuilder().setPong(Pong.getDefaultInstance()).build());
        fireReaderIdle();
        assertTrue(embedded.connection.isOpen());
        fireReaderIdle();
        assertFalse(embedded.connection.isOpen());
        assertEquals(ResultCode.OUTCOME_UNKNOWN, outcome.code());
    }

    private void fireReaderIdle() {
        embedded.channel.pipeline().fireUserEventTriggered(IdleStateEvent.READER_IDLE_STATE_EVENT);
        embedded.channel.runPendingTasks();
    }

    private void call(byte[] body) {
        embedded.connection.call(RecordingHandler.message("/", body), outcome);
        embedded.channel.runPendingTasks();
    }

    /** Makes a call and receives the start of an answer of 20 bytes and one chunk of the given length. */
    private void callAndStartAnswer(int length) {
        call(EMPTY_BODY);
        embedded.sent();
        embedded.receive(
                FrameConverter.answerStart(1, RecordingHandler.answerMessage(new byte[20])),
                EmbeddedConnection.chunk(1, length));
    }

    private void assertCut() throws Exception {
        assertEquals(ResultCode.ANSWER_CUT, outcome.code());
        assertFalse(embedded.connection.isOpen());
    }

    private void endAnswer(int checksum) {
        embedded.receive(Frame.newBuilder()
                .setAnswerEnd(AnswerEnd.newBuilder().setCall(1).setCrc32C(checksum))
                .build());
    }

    private static final class FailingListener implements AnswerListener {
        @Override
        public void answered(AnswerMessage answer) {
            throw new IllegalStateException("answered");
        }

        @Override
        public void refused(RefusalMessage refusal) {
            throw new IllegalStateException("refused");
        }
    }
}
