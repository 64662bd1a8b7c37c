package org.plantainshunt.protocol;

import java.io.IOException;
import java.util.Random;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.plantainshunt.protocol.FakeNode.Outcome;
import org.plantainshunt.protocol.FakeNode.ReceivedCall;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards the exchange between two endpoints against lost, changed and repeated messages. */
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
        entry.connectTo(serving).call(FakeNode.message("/bell?q=1", body), outcome);

        ReceivedCall received = serving.nextCall();
        CallMessage call = received.message();
        assertEquals("vm-entry", received.fromVm());
        assertArrayEquals(body, call.body());
        assertTrue(call.deadlineMilliseconds() > 10_000 && call.deadlineMilliseconds() <= 20_000);
        CallMessage expected = FakeNode.message("/bell?q=1", call.body(), call.deadlineMilliseconds());
        assertEquals(expected, call);

        byte[] answerBody = bytes(FakeNode.LARGEST_BODY);
        received.answer(answerBody);
        received.reply().refused(new RefusalMessage(Refusal.of(ResultCode.OVERLOADED, ""), 0, FakeNode.LOAD, true));
        AnswerMessage answer = outcome.answer();
        assertArrayEquals(answerBody, answer.body());
        assertEquals(
                new AnswerMessage(
                        ResultCode.ANSWERED,
                        201,
                        FakeNode.answerMessage(answerBody).headers(),
                        answer.body(),
                        2,
                        FakeNode.LOAD),
                answer);
    }

    @Test
    void refusalArrivesWithEveryField() throws Exception {
        Outcome outcome = new Outcome();
        entry.connectTo(serving).call(FakeNode.message("/", new byte[0]), outcome);
        Refusal refusal = new Refusal(ResultCode.OVERLOADED, "shed", 250);
        RefusalMessage message = new RefusalMessage(refusal, 3, FakeNode.LOAD, true);
        serving.nextCall().reply().refused(message);
        assertEquals(message, outcome.refusal());
    }

    @Test
    void tooLargeBodiesAreRefusedWithTheRightRunState() throws Exception {
        InnerConnection connection = entry.connectTo(serving);
        Outcome largeCall = new Outcome();
        connection.call(FakeNode.message("/", new byte[FakeNode.LARGEST_BODY + 1]), largeCall);
        assertEquals(ResultCode.BODY_TOO_LARGE, largeCall.code());

        Outcome largeHeader = new Outcome();
        connection.call(FakeNode.message("/" + "a".repeat(70_000), new byte[0]), largeHeader);
        assertEquals(ResultCode.HEADER_TOO_LARGE, largeHeader.code());
        assertEquals(3, largeHeader.refusal().unusedAllowance());

        Outcome largeAnswer = new Outcome();
        connection.call(FakeNode.message("/", new byte[0]), largeAnswer);
        serving.nextCall().answer(new byte[FakeNode.LARGEST_BODY + 1]);
        assertEquals(ResultCode.ANSWER_TOO_LARGE, largeAnswer.code());
        assertTrue(connection.isOpen());
    }

    @Test
    void cancelReachesTheHandlerAndItsLateAnswerIsDropped() throws Exception {
        Outcome outcome = new Outcome();
        CancelHandle handle = entry.connectTo(serving).call(FakeNode.message("/slow", new byte[0]), outcome);
        ReceivedCall received = serving.nextCall();
        handle.cancel();
        handle.cancel();
        awaitEvent(serving, "cancelled /slow");
        received.answer(bytes(10));
        assertEquals(ResultCode.CANCELLED_RUNNING, outcome.code());
        assertEquals(2, outcome.refusal().unusedAllowance());
    }

    @Test
    void refusalOfCancelledCallIsPassedOn() throws Exception {
        Outcome outcome = new Outcome();
        CancelHandle handle = entry.connectTo(serving).call(FakeNode.message("/queued", new byte[0]), outcome);
        ReceivedCall received = serving.nextCall();
        handle.cancel();
        awaitEvent(serving, "cancelled /queued");
        Refusal refusal = Refusal.of(ResultCode.CANCELLED_BEFORE_RUN, "waiting");
        received.reply().refused(new RefusalMessage(refusal, 3, FakeNode.LOAD, true));
        assertEquals(ResultCode.CANCELLED_BEFORE_RUN, outcome.code());
        assertTrue(outcome.refusal().fromServingNode());
    }

    @Test
    void callOverTheLimitOfOpenCallsIsRefused() throws Exception {
        InnerConnection connection = entry.connectTo(serving);
        for (int i = 0; i < Connection.MAXIMUM_OPEN_CALLS; i++) {
            connection.call(FakeNode.message("/", new byte[0]), new Outcome());
        }
        Outcome outcome = new Outcome();
        connection.call(FakeNode.message("/", new byte[0]), outcome);
        assertEquals(ResultCode.NODE_BUSY, outcome.code());
        serving.nextCall().answer(new byte[0]);
        serving.nextCall().answer(new byte[0]);
        assertTrue(connection.isOpen());
    }

    @Test
    void expiredCallIsNotSent() throws Exception {
        Outcome outcome = new Outcome();
        entry.connectTo(serving).call(FakeNode.message("/", new byte[0], 0), outcome);
        assertEquals(ResultCode.DEADLINE_TOO_SHORT, outcome.code());
        assertFalse(outcome.refusal().fromServingNode());
    }

    @Test
    void ticketIsGrantedOrRefused() throws Exception {
        InnerConnection connection = entry.connectTo(serving);
        Outcome granted = new Outcome();
        connection.requestTicket("recorder", "push", granted);
        awaitEvent(serving, "ticket vm-entry recorder push");
        FakeNode.next(serving.tickets).granted("vm-serving.1.2");
        assertEquals("vm-serving.1.2", granted.await());

        Outcome refused = new Outcome();
        connection.requestTicket("recorder", "push", refused);
        Refusal refusal = new Refusal(ResultCode.TICKET_TABLE_FULL, "full", 10);
        FakeNode.next(serving.tickets).refused(refusal);
        assertEquals(refusal, refused.await());
    }

    @Test
    void greetingAndDrainingReachBothSides() throws Exception {
        InnerConnection connection = entry.connectTo(serving);
        assertEquals("vm-serving", connection.peerVm());
        awaitEvent(serving, "greeted vm-entry 42");
        awaitEvent(entry, "greeted vm-serving 42");
        entry.endpoint.sayDraining();
        serving.endpoint.sayDraining();
        awaitEvent(serving, "draining vm-entry true");
        awaitEvent(entry, "draining vm-serving true");

        FakeNode third = new FakeNode("vm-third");
        third.connectTo(serving);
        awaitEvent(third, "draining vm-serving true");
        third.close();
        awaitEvent(serving, "disconnected vm-third");
    }

    @Test
    void documentsTravelAgainstTheDirectionOfTheConnection() throws Exception {
        entry.connectTo(serving).announce(new Announcement("configuration", 7, "ab"));
        InnerConnection back = FakeNode.next(serving.announcers);
        back.requestDocument("configuration");
        awaitEvent(entry, "requested configuration");
        DocumentMessage large = new DocumentMessage("configuration", 7, "ab", bytes(300_000));
        DocumentMessage empty = new DocumentMessage("vm-list", 8, "cd", new byte[0]);
        back.sendDocument(large);
        back.sendDocument(empty);
        DocumentMessage first = FakeNode.next(entry.documents);
        assertArrayEquals(large.compressed(), first.compressed());
        assertEquals(new DocumentMessage("configuration", 7, "ab", first.compressed()), first);
        assertEquals("vm-list", FakeNode.next(entry.documents).documentKind());
    }

    @Test
    void disconnectionIsToldOnlyForTheLastConnection() throws Exception {
        InnerConnection first = entry.connectTo(serving);
        InnerConnection second = entry.connectTo(serving);
        first.close();
        second.announce(new Announcement("vm-list", 1, "ab"));
        awaitEvent(serving, "announced " + new Announcement("vm-list", 1, "ab"));
        assertFalse(serving.events.contains("disconnected vm-entry"));
        second.close();
        awaitEvent(serving, "disconnected vm-entry");
    }

    private static byte[] bytes(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    /** Drops other events until the expected one arrives. */
    private static void awaitEvent(FakeNode node, String expected) throws InterruptedException {
        String event = FakeNode.next(node.events);
        while (!event.equals(expected)) {
            event = FakeNode.next(node.events);
        }
    }
}
