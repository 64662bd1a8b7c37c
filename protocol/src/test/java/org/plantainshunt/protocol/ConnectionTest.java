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

    private final EmbeddedConnection embedded = new EmbeddedConnection(1);

    @Test
    void smallAnswerWaitsForAtMostTwoChunksOfLargeOnes() throws Exception {
        List<Long> numbers = List.of(2L, 4L, 6L, 8L, 10L);
        for (long number : numbers) {
            receiveWholeCall(number);
            embedded.blockAfter(0);
            embedded.handler.nextCall().answer(new byte[MEBIBYTE]);
        }
        // Blocks the channel after a part of each large answer.
        embedded.blockAfter(37);
        embedded.sent();
        receiveWholeCall(12);
        embedded.handler.nextCall().answer(new byte[100]);
        assertTrue(embedded.sent().isEmpty());
        embedded.unblock();

        List<Frame> frames = embedded.sent();
        int end = indexOfAnswerEnd(frames, 12);
        long chunksAhead = frames.subList(0, end).stream()
                .filter(frame -> frame.hasChunk() && frame.getChunk().getCall() != 12)
                .count();
        assertTrue(chunksAhead <= 2, chunksAhead + " chunks ahead");
        // The large answers take turns, so they all end among the last frames.
        for (long number : numbers) {
            assertTrue(
                    indexOfAnswerEnd(frames, number) > frames.size() - 30,
                    number + " ends at " + indexOfAnswerEnd(frames, number) + " of " + frames.size());
        }
    }

    @Test
    void blockedChannelIsNotFilled() throws Exception {
        receiveWholeCall(2);
        embedded.handler.nextCall().answer(new byte[MEBIBYTE]);
        embedded.blockAfter(3);
        assertTrue(embedded.sent().size() <= 5);
        assertEquals(0, embedded.channel.unsafe().outboundBuffer().totalPendingWriteBytes());
    }

    @Test
    void unsentCallIsCancelledWithoutFrame() throws Exception {
        embedded.blockAfter(0);
        Outcome outcome = new Outcome();
        embedded.connection
                .call(RecordingHandler.message("/", EMPTY_BODY), outcome)
                .cancel();
        embedded.sent();
        embedded.unblock();
        assertTrue(embedded.sent().isEmpty());
        assertEquals(ResultCode.CANCELLED_BEFORE_RUN, outcome.code());
    }

    @Test
    void cancelStopsTheBody() {
        embedded.blockAfter(1);
        Outcome outcome = new Outcome();
        CancelHandle handle = embedded.connection.call(RecordingHandler.message("/", new byte[MEBIBYTE]), outcome);
        embedded.sent();
        handle.cancel();
        embedded.channel.runPendingTasks();
        embedded.unblock();
        List<Frame> frames = embedded.sent();
        assertEquals(1, frames.size());
        assertTrue(frames.get(0).hasCancel());
        assertFalse(outcome.isDone());
    }

    @Test
    void cancelDuringAnswerEndsTheCallAndIgnoresTheRest() throws Exception {
        Outcome outcome = new Outcome();
        CancelHandle handle = embedded.connection.call(RecordingHandler.message("/", EMPTY_BODY), outcome);
        embedded.sent();
        embedded.receive(FrameConverter.answerStart(1, RecordingHandler.answerMessage(new byte[5])));
        handle.cancel();
        embedded.sent();
        assertEquals(ResultCode.CANCELLED_RUNNING, outcome.code());
        embedded.receive(EmbeddedConnection.chunk(1, 0));
        assertTrue(embedded.connection.isOpen());
    }

    @Test
    void cancelledAnswerIsNotSentFurther() throws Exception {
        receiveWholeCall(2);
        embedded.blockAfter(3);
        embedded.handler.nextCall().answer(new byte[MEBIBYTE]);
        embedded.sent();
        embedded.receive(EmbeddedConnection.cancel(2));
        embedded.unblock();
        assertTrue(embedded.sent().isEmpty());
    }

    @Test
    void partlyReceivedCallIsCancelledAsNotRun() {
        embedded.receive(
                RecordingHandler.callStart(2, 10, 1_000), EmbeddedConnection.cancel(2), EmbeddedConnection.chunk(2, 0));
        assertRefused(ResultCode.CANCELLED_BEFORE_RUN, 2);
        assertTrue(embedded.handler.calls.isEmpty());
    }

    @Test
    void callsOverTheLimitAreRefusedAsNotRun() throws Exception {
        for (long number = 2; number <= 2L * Connection.MAXIMUM_OPEN_CALLS; number += 2) {
            receiveWholeCall(number);
        }
        long next = 2L * Connection.MAXIMUM_OPEN_CALLS + 2;
        receiveWholeCall(next);
        assertRefused(ResultCode.NODE_BUSY, next);
        embedded.receive(ticketRequest(next + 2));
        assertRefused(ResultCode.NODE_BUSY, next + 2);

        embedded.handler.nextCall().answer(EMPTY_BODY);
        embedded.sent();
        receiveWholeCall(next + 4);
        assertTrue(embedded.sent().isEmpty());
        assertEquals(Connection.MAXIMUM_OPEN_CALLS, embedded.handler.calls.size());
    }

    @Test
    void announcedBytesAreBounded() {
        for (int i = 1; i <= IncomingCalls.MAXIMUM_ANNOUNCED_BODIES; i++) {
            embedded.receive(RecordingHandler.callStart(2L * i, RecordingHandler.LARGEST_BODY, 1_000));
        }
        assertTrue(embedded.sent().isEmpty());
        embedded.receive(RecordingHandler.callStart(100, 1, 1_000));
        assertRefused(ResultCode.NODE_BUSY, 100);
        embedded.receive(EmbeddedConnection.cancel(2));
        assertRefused(ResultCode.CANCELLED_BEFORE_RUN, 2);
        embedded.receive(RecordingHandler.callStart(102, 1, 1_000));
        assertTrue(embedded.sent().isEmpty());
        embedded.receive(RecordingHandler.callStart(104, MEBIBYTE + 1, 1_000));
        assertRefused(ResultCode.BODY_TOO_LARGE, 104);
    }

    @Test
    void peerThatReadsNothingIsClosed() {
        embedded.blockAfter(0);
        for (int i = 0; i <= FrameWriter.MAXIMUM_WAITING_CONTROL_FRAMES; i++) {
            assertTrue(embedded.connection.isOpen());
            embedded.connection.announceDraining();
            embedded.channel.runPendingTasks();
        }
        assertFalse(embedded.connection.isOpen());
    }

    @Test
    void frameOutOfOrderClosesTheConnection() {
        Frame start = RecordingHandler.callStart(2, 0, 1_000);
        assertCloses(start, start);
        assertCloses(start, EmbeddedConnection.callEnd(2, 0), EmbeddedConnection.callEnd(2, 0));
        assertCloses(start, EmbeddedConnection.callEnd(2, 0), EmbeddedConnection.chunk(2, 0));
        assertCloses(RecordingHandler.callStart(1, 0, 1_000));
        assertCloses(RecordingHandler.callStart(0, 0, 1_000));
        assertCloses(RecordingHandler.callStart(2, 0, -1));
        assertCloses(EmbeddedConnection.chunk(2, 0));
        assertCloses(EmbeddedConnection.callEnd(2, 0));
        assertCloses(EmbeddedConnection.cancel(2));
        assertCloses(FrameConverter.answerStart(1, RecordingHandler.answerMessage(EMPTY_BODY)));
        assertCloses(part(1, 10));
        assertCloses(part(0, DocumentMessage.MAXIMUM_BYTES + 1));
        assertCloses(part(0, 10), part(2, 10));
        assertCloses(Frame.getDefaultInstance());
    }

    private static void assertCloses(Frame... frames) {
        EmbeddedConnection target = new EmbeddedConnection(1);
        for (Frame frame : frames) {
            assertTrue(target.connection.isOpen(), "open before " + frame);
            target.receive(frame);
        }
        assertFalse(target.connection.isOpen(), "closed by " + frames[frames.length - 1]);
    }

    private void assertRefused(ResultCode code, long number) {
        List<Frame> frames = embedded.sent();
        assertEquals(1, frames.size());
        CallRefused refused = frames.get(0).getCallRefused();
        assertEquals(code.number(), refused.getCode());
        assertEquals(number, refused.getCall());
    }

    private void receiveWholeCall(long number) {
        embedded.receive(RecordingHandler.callStart(number, 0, 1_000), EmbeddedConnection.callEnd(number, 0));
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
