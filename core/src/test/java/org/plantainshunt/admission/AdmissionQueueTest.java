package org.plantainshunt.admission;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AdmissionQueueTest {
    private static final long MILLISECOND = 1_000_000L;

    private final List<AdmissionQueue.Refused> refused = new ArrayList<>();
    private AdmissionQueue queue = queue(1, 100);
    private int ids;

    private AdmissionQueue queue(int slots, int length) {
        return new AdmissionQueue(AdmissionModel.service(slots, length), refused::add);
    }

    private CallEntry call(boolean atMostOnce, int deadline, long now) {
        Priority priority = Priority.of(PriorityClass.STANDARD, 5);
        return new CallEntry("r" + ids++, priority, "k", atMostOnce, (now + deadline) * MILLISECOND, now * MILLISECOND);
    }

    private CallEntry offer(int deadline, long now) {
        CallEntry entry = call(false, deadline, now);
        queue.offer(entry, now * MILLISECOND);
        return entry;
    }

    /** Runs calls one after another, 10 ms each, to give the kind a service time estimate. */
    private long runCalls(int count, long now) {
        for (int i = 0; i < count; i++) {
            queue.finished(offer(10_000, now), CallEnd.ANSWERED, (now + 10) * MILLISECOND);
            now += 10;
        }
        return now;
    }

    /** Guards against slots that go to calls abandoned by their callers, and against unfair order without overload. */
    @Test
    void startsOldestFirstAndNewestFirstWhileTheDelayStands() {
        CallEntry running = offer(10_000, 0);
        CallEntry first = offer(10_000, 0);
        CallEntry second = offer(10_000, 1);
        CallEntry third = offer(10_000, 2);
        queue.finished(running, CallEnd.ANSWERED, 3 * MILLISECOND);
        assertEquals(List.of(first), queue.startable(3 * MILLISECOND));
        queue.finished(first, CallEnd.ANSWERED, 130 * MILLISECOND);
        assertEquals(List.of(third), queue.startable(130 * MILLISECOND));
        queue.finished(third, CallEnd.ANSWERED, 131 * MILLISECOND);
        assertEquals(List.of(second), queue.startable(131 * MILLISECOND));
    }

    /** Guards against slots that calls without an outcome hold for ever. */
    @Test
    void givesUpCallsThatAreLongOverdueOnce() {
        queue = queue(2, 100);
        CallEntry lost = call(true, 1_000, 0);
        CallEntry ended = call(true, 1_000, 0);
        queue.offer(lost, 0);
        queue.offer(ended, 0);
        long limit = 1_000 + OverdueCalls.LIMIT.toMillis();
        assertEquals(List.of(), queue.callsToGiveUp((limit - 1) * MILLISECOND));
        queue.finished(ended, CallEnd.ANSWERED, (limit - 1) * MILLISECOND);
        assertEquals(List.of(lost), queue.callsToGiveUp(limit * MILLISECOND));
        assertEquals(List.of(), queue.callsToGiveUp(limit * MILLISECOND));
        assertEquals(1, queue.running());
        queue.finished(lost, CallEnd.FAILED, limit * MILLISECOND);
        assertEquals(0, queue.running());
    }

    /** Guards against work for deadlines that cannot be met, and against a kind that is refused forever. */
    @Test
    void refusesTooShortDeadlinesOnlyWhileSlotsAreFullAndTheEstimateIsFresh() {
        long now = runCalls(8, 0);
        CallEntry running = offer(5, now);
        assertEquals(1, queue.running());
        assertEquals(CallEntry.State.WAITING, offer(15, now).state);
        offer(5, now);
        assertEquals(ResultCode.DEADLINE_TOO_SHORT, refused.get(0).refusal().code());
        assertEquals(1, refused.size());
        queue.startable((now + 6) * MILLISECOND);
        assertEquals(2, refused.size());
        assertEquals(CallEntry.State.WAITING, offer(5, now + 1100).state);
        queue.finished(running, CallEnd.FAILED, (now + 1101) * MILLISECOND);
        assertEquals(1, queue.startable((now + 1101) * MILLISECOND).size());
    }

    /** Guards against a slot for a waiting call that a newer service time estimate shows to be too late. */
    @Test
    void refusesAtStartIfEstimateExceedsTimeLeft() {
        queue = queue(8, 100);
        List<CallEntry> calls = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            calls.add(offer(10_000, 0));
        }
        offer(100, 0);
        calls.forEach(entry -> queue.finished(entry, CallEnd.ANSWERED, 90 * MILLISECOND));
        assertEquals(List.of(), queue.startable(90 * MILLISECOND));
        assertEquals(ResultCode.DEADLINE_TOO_SHORT, refused.get(0).refusal().code());
    }

    /** Guards against long work that holds all slots, and against cancelling a call that runs at most once. */
    @Test
    void cancelsTheLongestRunningRepeatableLongCallsOverTheirShare() {
        queue = queue(8, 100);
        long now = runCalls(8, 0);
        CallEntry payment = call(true, 10_000, now);
        queue.offer(payment, now * MILLISECOND);
        List<CallEntry> calls = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            calls.add(offer(10_000, now + i));
        }
        assertEquals(List.of(), queue.callsToCancel((now + 200) * MILLISECOND));
        offer(10_000, now + 200);
        assertEquals(calls.subList(0, 4), queue.callsToCancel((now + 200) * MILLISECOND));
        assertEquals(List.of(), queue.callsToCancel((now + 201) * MILLISECOND));
    }

    /** Guards against the cancellation of ordinary work when the whole backend server stalls. */
    @Test
    void stallOfAllCallsIsNotLongWork() {
        queue = queue(100, 100);
        long now = runCalls(8, 0);
        for (int i = 0; i < 101; i++) {
            offer(10_000, now);
        }
        assertEquals(List.of(), queue.callsToCancel((now + 200) * MILLISECOND));
    }

    /** Guards against a limit that shrinks because of latency, and against one that never grows back. */
    @Test
    void limitShrinksOncePerRoundAndOnlyForSheds() {
        queue = queue(10, 100);
        List<CallEntry> calls = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            calls.add(offer(100_000, 0));
        }
        queue.finished(calls.get(0), CallEnd.FAILED, 20_000 * MILLISECOND);
        queue.finished(calls.get(1), CallEnd.CANCELLED, 20_000 * MILLISECOND);
        queue.finished(calls.get(2), CallEnd.ANSWERED, 20_000 * MILLISECOND);
        assertEquals(10, queue.limit());
        queue.finished(calls.get(3), CallEnd.SHED_BY_BACKEND_SERVER, 20_001 * MILLISECOND);
        assertEquals(5, queue.limit());
        queue.finished(calls.get(4), CallEnd.SHED_BY_BACKEND_SERVER, 20_002 * MILLISECOND);
        assertEquals(5, queue.limit());
        calls.forEach(entry -> queue.finished(entry, CallEnd.FAILED, 20_003 * MILLISECOND));
        runCalls(4, 20_003);
        assertEquals(5, queue.limit());
        runCalls(1, 20_043);
        assertEquals(6, queue.limit());
        runCalls(30, 20_053);
        assertEquals(10, queue.limit());
    }

    /** Guards against refused callers that all retry at the same time. */
    @Test
    void retryTimesAreSpread() {
        queue = queue(1, 0);
        for (int i = 0; i < 101; i++) {
            offer(10_000, 0);
        }
        List<Long> times = refused.stream()
                .map(one -> one.refusal().retryAfterMilliseconds())
                .toList();
        assertTrue(times.stream().allMatch(time -> time >= 100 && time <= 200), times.toString());
        assertTrue(times.stream().distinct().count() > 50, times.toString());
    }
}
