package org.plantainshunt.protocol;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.plantainshunt.protocol.RecordingHandler.Outcome;
import org.plantainshunt.protocol.wire.CallRefused;
import org.plantainshunt.protocol.wire.DocumentPart;
import org.plantainshunt.protocol.wire.Frame;
import org.plantainshunt.protocol.wire.TicketRequest;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the order of frames on a connection, its limits, and that protocol violations by the peer close it. */
class ConnectionTest {
    private static final byte[] EMPTY_BODY = new byte[0];
    private static final int MEBIBYTE = 1 << 20;

    private final EmbeddedPeer peer = new EmbeddedPeer(1);

    @Test
    void smallAnswerWaitsForAtMostTwoChunksOfLargeOnes() throws Exception {
        List<Long> numbers = List.of(2L, 4L, 6L, 8L, 10L);
        for (long number : numbers) {
            receiveWholeCall(number);
            peer.blockAfter(0);
            peer.handler.nextCall().answer(new byte[MEBIBYTE]);
        }
        peer.blockAfter(37);
        peer.sent();
        receiveWholeCall(12);
        peer.handler.nextCall().answer(new byte[100]);
        assertTrue(peer.sent().isEmpty());
        peer.unblock();

        List<Frame> frames = peer.sent();
        int end = indexOfAnswerEnd(frames, 12);
        long chunksAhead = frames.subList(0, end).stream()
                .filter(frame -> frame.hasChunk() && frame.getChunk().getCall() != 12)
                .count();
        assertTrue(chunksAhead <= 2, chunksAhead + " chunks ahead");
        for (long number : numbers) {
            assertTrue(
                    indexOfAnswerEnd(frames, number) > frames.size() - 30,
                    number + " ends at " + indexOfAnswerEnd(frames, number) + " of " + frames.size());
        }
    }

    @Test
    void blockedChannelIsNotFilled() throws Exception {
        receiveWholeCall(2);
        peer.handler.nextCall().answer(new byte[MEBIBYTE]);
        peer.blockAfter(3);
        assertTrue(peer.sent().size() <= 5);
        assertEquals(0, peer.channel.unsafe().outboundBuffer().totalPendingWriteBytes());
    }

    @Test
    void unsentCallIsCancelledWithoutFrame() throws Exception {
        peer.blockAfter(0);
        Outcome outcome = new Outcome();
        peer.connection.call(RecordingHandler.message("/", EMPTY_BODY), outcome).cancel();
        peer.sent();
        peer.unblock();
        assertTrue(peer.sent().isEmpty());
        assertEquals(ResultCode.CANCELLED_BEFORE_RUN, outcome.code());
    }

    @Test
    void cancelStopsTheBody() {
        peer.blockAfter(1);
        Outcome outcome = new Outcome();
        CancelHandle handle = peer.connection.call(RecordingHandler.message("/", new byte[MEBIBYTE]), outcome);
        peer.sent();
        handle.cancel();
        peer.channel.runPendingTasks();
        peer.unblock();
        List<Frame> frames = peer.sent();
        assertEquals(1, frames.size());
        assertTrue(frames.get(0).hasCancel());
        assertFalse(outcome.isDone());
    }

    @Test
    void cancelDuringAnswerEndsTheCallAndIgnoresTheRest() throws Exception {
        Outcome outcome = new Outcome();
        CancelHandle handle = peer.connection.call(RecordingHandler.message("/", EMPTY_BODY), outcome);
        peer.sent();
        peer.receive(FrameConverter.answerStart(1, RecordingHandler.answerMessage(new byte[5])));
        handle.cancel();
        peer.sent();
        assertEquals(ResultCode.CANCELLED_RUNNING, outcome.code());
        peer.receive(EmbeddedPeer.chunk(1, 0));
        assertTrue(peer.connection.isOpen());
    }

    @Test
    void cancelledAnswerIsNotSentFurther() throws Exception {
        receiveWholeCall(2);
        peer.blockAfter(3);
        peer.handler.nextCall().answer(new byte[MEBIBYTE]);
        peer.sent();
        peer.receive(EmbeddedPeer.cancel(2));
        peer.unblock();
        assertTrue(peer.sent().isEmpty());
    }

    @Test
    void partlyReceivedCallIsCancelledAsNotRun() {
        peer.receive(RecordingHandler.callStart(2, 10, 1_000), EmbeddedPeer.cancel(2), EmbeddedPeer.chunk(2, 0));
        assertRefused(ResultCode.CANCELLED_BEFORE_RUN, 2);
        assertTrue(peer.handler.calls.isEmpty());
    }

    @Test
    void callsOverTheLimitAreRefusedAsNotRun() throws Exception {
        for (long number = 2; number <= 2L * Connection.MAXIMUM_OPEN_CALLS; number += 2) {
            receiveWholeCall(number);
        }
        long next = 2L * Connection.MAXIMUM_OPEN_CALLS + 2;
        receiveWholeCall(next);
        assertRefused(ResultCode.NODE_BUSY, next);
        peer.receive(ticketRequest(next + 2));
        assertRefused(ResultCode.NODE_BUSY, next + 2);

        peer.handler.nextCall().answer(EMPTY_BODY);
        peer.sent();
        receiveWholeCall(next + 4);
        assertTrue(peer.sent().isEmpty());
        assertEquals(Connection.MAXIMUM_OPEN_CALLS, peer.handler.calls.size());
    }

    @Test
    void announcedBytesAreBounded() {
        for (int i = 1; i <= IncomingCalls.MAXIMUM_ANNOUNCED_BODIES; i++) {
            peer.receive(RecordingHandler.callStart(2L * i, RecordingHandler.LARGEST_BODY, 1_000));
        }
        assertTrue(peer.sent().isEmpty());
        peer.receive(RecordingHandler.callStart(100, 1, 1_000));
        assertRefused(ResultCode.NODE_BUSY, 100);
        peer.receive(EmbeddedPeer.cancel(2));
        assertRefused(ResultCode.CANCELLED_BEFORE_RUN, 2);
        peer.receive(RecordingHandler.callStart(102, 1, 1_000));
        assertTrue(peer.sent().isEmpty());
        peer.receive(RecordingHandler.callStart(104, MEBIBYTE + 1, 1_000));
        assertRefused(ResultCode.BODY_TOO_LARGE, 104);
    }

    @Test
    void peerThatReadsNothingIsClosed() {
        peer.blockAfter(0);
        for (int i = 0; i <= FrameWriter.MAXIMUM_WAITING_CONTROL_FRAMES; i++) {
            assertTrue(peer.connection.isOpen());
            peer.connection.announceDraining();
            peer.channel.runPendingTasks();
        }
        assertFalse(peer.connection.isOpen());
    }

    @Test
    void frameOutOfOrderClosesTheConnection() {
        Frame start = RecordingHandler.callStart(2, 0, 1_000);
        assertCloses(start, start);
        assertCloses(start, EmbeddedPeer.callEnd(2, 0), EmbeddedPeer.callEnd(2, 0));
        assertCloses(start, EmbeddedPeer.callEnd(2, 0), EmbeddedPeer.chunk(2, 0));
        assertCloses(RecordingHandler.callStart(1, 0, 1_000));
        assertCloses(RecordingHandler.callStart(0, 0, 1_000));
        assertCloses(RecordingHandler.callStart(2, 0, -1));
        assertCloses(EmbeddedPeer.chunk(2, 0));
        assertCloses(EmbeddedPeer.callEnd(2, 0));
        assertCloses(EmbeddedPeer.cancel(2));
        assertCloses(FrameConverter.answerStart(1, RecordingHandler.answerMessage(EMPTY_BODY)));
        assertCloses(part(1, 10));
        assertCloses(part(0, DocumentMessage.MAXIMUM_BYTES + 1));
        assertCloses(part(0, 10), part(2, 10));
        assertCloses(Frame.getDefaultInstance());
    }

    private static void assertCloses(Frame... frames) {
        EmbeddedPeer target = new EmbeddedPeer(1);
        for (Frame frame : frames) {
            assertTrue(target.connection.isOpen(), "open before " + frame);
            target.receive(frame);
        }
        assertFalse(target.connection.isOpen(), "closed by " + frames[frames.length - 1]);
    }

    private void assertRefused(ResultCode code, long number) {
        List<Frame> frames = peer.sent();
        assertEquals(1, frames.size());
        CallRefused refused = frames.get(0).getCallRefused();
        assertEquals(code.number(), refused.getCode());
        assertEquals(number, refused.getCall());
    }

    private void receiveWholeCall(long number) {
        peer.receive(RecordingHandler.callStart(number, 0, 1_000), EmbeddedPeer.callEnd(number, 0));
    }

    private static int indexOfAnswerEnd(List<Frame> frames, long number) {
        return frames.stream()
                .map(frame -> frame.getAnswerEnd().getCall())
                .toList()
                .indexOf(number);
    }

    private static Frame ticketRequest(long number) {
        return Frame.newBuilder()
                .setTicketRequest(TicketRequest.newBuilder().setCall(number))
                .build();
    }

    private static Frame part(int offset, int total) {
        return Frame.newBuilder()
                .setDocumentPart(DocumentPart.newBuilder().setOffset(offset).setTotal(total))
                .build();
    }
}
