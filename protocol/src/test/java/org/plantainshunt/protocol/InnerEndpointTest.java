package org.plantainshunt.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.plantainshunt.protocol.RecordingHandler.Outcome;
import org.plantainshunt.protocol.RecordingHandler.ReceivedCall;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that no message between two endpoints is lost, changed or delivered twice. */
class InnerEndpointTest {
    private FakeNode entry;
    private FakeNode serving;

    @BeforeEach
    void start() throws IOException {
        entry = new FakeNode("vm-entry");
        serving = new FakeNode("vm-serving");
    }

    @AfterEach
    void stop() {
        entry.close();
        serving.close();
    }

    @Test
    void callAndAnswerArriveWithEveryField() throws Exception {
        byte[] body = bytes(100_000);
        Outcome outcome = new Outcome();
        entry.connectTo(serving).call(RecordingHandler.message("/bell?q=1", body), outcome);

        ReceivedCall received = serving.nextCall();
        CallMessage call = received.message();
        assertEquals("vm-entry", received.fromVm());
        assertArrayEquals(body, call.body());
        assertTrue(call.deadlineMilliseconds() > 10_000 && call.deadlineMilliseconds() <= 20_000);
        CallMessage expected = RecordingHandler.message("/bell?q=1", call.body(), call.deadlineMilliseconds());
        assertEquals(expected, call);

        byte[] answerBody = bytes(RecordingHandler.LARGEST_BODY);
        received.answer(answerBody);
        received.reply()
                .refused(new RefusalMessage(Refusal.of(ResultCode.OVERLOADED, ""), 0, RecordingHandler.LOAD, true));
        AnswerMessage answer = outcome.answer();
        assertArrayEquals(answerBody, answer.body());
        assertEquals(RecordingHandler.answerMessage(answer.body()), answer);
    }

    @Test
    void tooLargeMessagesAreRefusedWithTheRightCode() throws Exception {
        InnerConnection connection = entry.connectTo(serving);
        Outcome largeCall = new Outcome();
        connection.call(RecordingHandler.message("/", new byte[RecordingHandler.LARGEST_BODY + 1]), largeCall);
        assertEquals(ResultCode.BODY_TOO_LARGE, largeCall.code());

        Outcome largeHeader = new Outcome();
        connection.call(RecordingHandler.message("/" + "a".repeat(70_000), new byte[0]), largeHeader);
        assertEquals(ResultCode.HEADER_TOO_LARGE, largeHeader.code());
        assertEquals(3, largeHeader.refusal().unusedAllowance());

        Outcome largeAnswer = new Outcome();
        connection.call(RecordingHandler.message("/", new byte[0]), largeAnswer);
        serving.nextCall().answer(new byte[RecordingHandler.LARGEST_BODY + 1]);
        assertEquals(ResultCode.ANSWER_TOO_LARGE, largeAnswer.code());
        assertTrue(connection.isOpen());
    }

    @Test
    void cancelReachesTheHandlerAndItsLateAnswerIsDropped() throws Exception {
        Outcome outcome = new Outcome();
        CancelHandle handle = entry.connectTo(serving).call(RecordingHandler.message("/slow", new byte[0]), outcome);
        ReceivedCall received = serving.nextCall();
        handle.cancel();
        handle.cancel();
        serving.awaitEvent("cancelled /slow");
        received.answer(bytes(10));
        assertEquals(ResultCode.CANCELLED_RUNNING, outcome.code());
        assertEquals(2, outcome.refusal().unusedAllowance());
    }

    @Test
    void refusalOfCancelledCallArrivesWithEveryField() throws Exception {
        Outcome outcome = new Outcome();
        CancelHandle handle = entry.connectTo(serving).call(RecordingHandler.message("/queued", new byte[0]), outcome);
        ReceivedCall received = serving.nextCall();
        handle.cancel();
        serving.awaitEvent("cancelled /queued");
        Refusal refusal = new Refusal(ResultCode.CANCELLED_BEFORE_RUN, "waiting", 250);
        RefusalMessage message = new RefusalMessage(refusal, 3, RecordingHandler.LOAD, true);
        received.reply().refused(message);
        assertEquals(message, outcome.refusal());
    }

    @Test
    void callOverTheLimitOfOpenCallsIsRefused() throws Exception {
        InnerConnection connection = entry.connectTo(serving);
        for (int i = 0; i < Connection.MAXIMUM_OPEN_CALLS; i++) {
            connection.call(RecordingHandler.message("/", new byte[0]), new Outcome());
        }
        Outcome outcome = new Outcome();
        connection.call(RecordingHandler.message("/", new byte[0]), outcome);
        assertEquals(ResultCode.NODE_BUSY, outcome.code());
        serving.nextCall().answer(new byte[0]);
        serving.nextCall().answer(new byte[0]);
        assertTrue(connection.isOpen());
    }

    @Test
    void expiredCallIsNotSent() throws Exception {
        Outcome outcome = new Outcome();
        entry.connectTo(serving).call(RecordingHandler.message("/", new byte[0], 0), outcome);
        assertEquals(ResultCode.DEADLINE_TOO_SHORT, outcome.code());
        assertFalse(outcome.refusal().fromServingNode());
    }

    @Test
    void ticketIsGrantedOrRefused() throws Exception {
        InnerConnection connection = entry.connectTo(serving);
        Outcome granted = new Outcome();
        connection.requestTicket("recorder", "push", granted);
        serving.awaitEvent("ticket vm-entry recorder push");
        RecordingHandler.next(serving.tickets).granted("vm-serving.1.2");
        assertEquals("vm-serving.1.2", granted.await());

        Outcome refused = new Outcome();
        connection.requestTicket("recorder", "push", refused);
        Refusal refusal = new Refusal(ResultCode.TICKET_TABLE_FULL, "full", 10);
        RecordingHandler.next(serving.tickets).refused(refusal);
        assertEquals(refusal, refused.await());
    }

    @Test
    void handshakeAndDrainingReachBothSides() throws Exception {
        InnerConnection connection = entry.connectTo(serving);
        assertEquals("vm-serving", connection.peerVm());
        serving.awaitEvent("handshake vm-entry 42");
        entry.awaitEvent("handshake vm-serving 42");
        entry.endpoint.announceDraining();
        serving.endpoint.announceDraining();
        serving.awaitEvent("draining vm-entry true");
        entry.awaitEvent("draining vm-serving true");

        FakeNode third = new FakeNode("vm-third");
        third.connectTo(serving);
        third.awaitEvent("draining vm-serving true");
        third.close();
        serving.awaitEvent("disconnected vm-third");
    }

    @Test
    void documentsAreSentFromAcceptingToConnectingSide() throws Exception {
        entry.connectTo(serving).announce(new Announcement("configuration", 7, "ab"));
        InnerConnection back = RecordingHandler.next(serving.announcers);
        back.requestDocument("configuration");
        entry.awaitEvent("requested configuration");
        DocumentMessage large = new DocumentMessage("configuration", 7, "ab", bytes(300_000));
        DocumentMessage empty = new DocumentMessage("vm-list", 8, "cd", new byte[0]);
        back.sendDocument(large);
        back.sendDocument(empty);
        DocumentMessage first = RecordingHandler.next(entry.documents);
        assertArrayEquals(large.compressed(), first.compressed());
        assertEquals(new DocumentMessage("configuration", 7, "ab", first.compressed()), first);
        assertEquals("vm-list", RecordingHandler.next(entry.documents).documentKind());
    }

    @Test
    void disconnectionIsReportedOnlyForTheLastConnection() throws Exception {
        InnerConnection first = entry.connectTo(serving);
        InnerConnection second = entry.connectTo(serving);
        serving.awaitEvent("handshake vm-entry 42");
        serving.awaitEvent("handshake vm-entry 42");
        first.close();
        second.close();
        serving.close();
        assertEquals(1, Collections.frequency(serving.events, "disconnected vm-entry"));
    }

    /** Guards against a graceful shutdown that truncates answers queued just before it. */
    @Test
    void answersGivenBeforeTheEndpointIsClosedArrive() throws Exception {
        InnerConnection connection = entry.connectTo(serving);
        List<Outcome> outcomes = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Outcome outcome = new Outcome();
            connection.call(RecordingHandler.message("/" + i, bytes(100_000)), outcome);
            outcomes.add(outcome);
        }
        for (int i = 0; i < 8; i++) {
            serving.nextCall().answer(bytes(RecordingHandler.LARGEST_BODY));
        }
        serving.close();
        for (Outcome outcome : outcomes) {
            assertArrayEquals(
                    bytes(RecordingHandler.LARGEST_BODY), outcome.answer().body());
        }
        entry.awaitEvent("disconnected vm-serving");
    }

    private static byte[] bytes(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }
}
