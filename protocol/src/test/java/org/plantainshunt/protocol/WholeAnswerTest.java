package org.plantainshunt.protocol;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.plantainshunt.protocol.RecordingHandler.Outcome;
import org.plantainshunt.protocol.RecordingHandler.ReceivedCall;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests that each call receives its own complete answer, regardless of the order of the answers. */
class WholeAnswerTest {
    private static final int CALLS = 150;
    private static final int LARGEST_BODY = 80_000;
    private static final String CANCELLED = "/cancelled";

    @Property(tries = 15)
    void answersOutOfOrderReachTheirCalls(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        try (FakeNode entry = new FakeNode("vm-entry");
                FakeNode serving = new FakeNode("vm-serving")) {
            List<InnerConnection> connections = List.of(entry.connectTo(serving), entry.connectTo(serving));
            List<Outcome> outcomes = new ArrayList<>();
            List<Outcome> cancelled = new ArrayList<>();
            for (int i = 0; i < CALLS; i++) {
                InnerConnection connection = connections.get(random.nextInt(connections.size()));
                Outcome outcome = new Outcome();
                connection.call(RecordingHandler.message("/" + i, body(i, seed)), outcome);
                outcomes.add(outcome);
                if (random.nextInt(10) == 0) {
                    cancelled.add(callAndCancel(connection));
                }
            }
            answerInRandomOrder(serving, random, seed);
            for (int i = 0; i < CALLS; i++) {
                assertArrayEquals(body(-i - 1, seed), outcomes.get(i).answer().body());
            }
            answerRest(serving, cancelled);
            for (Outcome outcome : cancelled) {
                assertCancelled(outcome.code());
            }
        }
    }

    /** Guards against an answer of another node that no caller can read. */
    @Test
    void answerThatIsNoneIsRefused() throws Exception {
        try (FakeNode entry = new FakeNode("vm-entry");
                FakeNode serving = new FakeNode("vm-serving")) {
            InnerConnection connection = entry.connectTo(serving);
            assertEquals(
                    ResultCode.ANSWER_CUT,
                    answered(connection, serving, 0, "Name").code());
            assertEquals(
                    ResultCode.ANSWER_CUT,
                    answered(connection, serving, 200, "Na me").code());
            assertEquals(
                    200, answered(connection, serving, 200, "Name").answer().status());
        }
    }

    private static Outcome answered(InnerConnection connection, FakeNode serving, int status, String headerName)
            throws InterruptedException {
        Outcome outcome = new Outcome();
        connection.call(RecordingHandler.message("/1", new byte[1]), outcome);
        serving.nextCall()
                .reply()
                .answered(new AnswerMessage(
                        ResultCode.ANSWERED,
                        status,
                        List.of(new Header(headerName, "v")),
                        new byte[3],
                        0,
                        RecordingHandler.LOAD));
        return outcome;
    }

    private static Outcome callAndCancel(InnerConnection connection) {
        Outcome outcome = new Outcome();
        connection
                .call(RecordingHandler.message(CANCELLED, new byte[LARGEST_BODY]), outcome)
                .cancel();
        return outcome;
    }

    private static void assertCancelled(ResultCode code) {
        ResultCode expected = code == ResultCode.CANCELLED_BEFORE_RUN ? code : ResultCode.CANCELLED_RUNNING;
        assertEquals(expected, code);
    }

    /** Receives the calls in groups and answers each group in random order. */
    private static void answerInRandomOrder(FakeNode serving, Random random, long seed) throws InterruptedException {
        List<ReceivedCall> group = new ArrayList<>();
        int answered = 0;
        while (answered < CALLS) {
            ReceivedCall call = serving.nextCall();
            if (call.message().path().equals(CANCELLED)) {
                call.answer(new byte[1]);
                continue;
            }
            answered++;
            group.add(call);
            if (random.nextInt(30) == 0 || answered == CALLS) {
                Collections.shuffle(group, random);
                group.forEach(each -> answer(each, seed));
                group.clear();
            }
        }
    }

    /** Answers the cancelled calls that reach the handler after all others. */
    private static void answerRest(FakeNode serving, List<Outcome> cancelled) throws InterruptedException {
        long start = System.nanoTime();
        while (!cancelled.stream().allMatch(Outcome::isDone)
                && System.nanoTime() - start < TimeUnit.SECONDS.toNanos(10)) {
            ReceivedCall call = serving.calls.poll(10, TimeUnit.MILLISECONDS);
            if (call != null) {
                call.answer(new byte[1]);
            }
        }
    }

    private static void answer(ReceivedCall call, long seed) {
        int number = Integer.parseInt(call.message().path().substring(1));
        if (!Arrays.equals(body(number, seed), call.message().body())) {
            throw new AssertionError("call " + number + " arrived with a different body");
        }
        call.answer(body(-number - 1, seed));
    }

    /** Returns a body that differs between any two numbers. */
    private static byte[] body(int number, long seed) {
        Random random = new Random(seed * 31 + number);
        byte[] body = new byte[random.nextInt(8, LARGEST_BODY)];
        random.nextBytes(body);
        return body;
    }
}
