package org.plantainshunt.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.plantainshunt.admission.CallEnd;
import org.plantainshunt.configuration.PriorityClass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Checks the run times that a replay assumes for calls that run differently from the recording. */
class ReplayTest {
    private static final TraceEvent.Limits LIMITS = new TraceEvent.Limits(1, 4, 20_000, 0.5, 10);
    private final List<TraceEvent> events =
            new ArrayList<>(List.of(new TraceEvent.Header(TraceEvent.VERSION, "n-1", "s", LIMITS)));

    @Test
    void callsRunForTheirRecordedTimeOneAfterTheOther() throws InvalidTraceException {
        addAnsweredCall("a", 0, false, 100, 60);
        addAnsweredCall("b", 1, false, 100, 30);
        Outcomes outcomes = replay(OptionalInt.empty());
        assertEquals(2, tally(outcomes).getAnswered());
        assertEquals(59, Math.round(outcomes.queueDelay(99) / 1000.0));
    }

    @Test
    void moreSlotsRemoveTheQueueDelay() throws InvalidTraceException {
        addAnsweredCall("a", 0, false, 100, 60);
        addAnsweredCall("b", 1, false, 100, 30);
        assertEquals(0, replay(OptionalInt.of(2)).queueDelay(99));
    }

    /** Without the estimate, a call that was recorded as refused would end at once and free its slot. */
    @Test
    void callsThatNeverRanTakeTheMedianOfTheirKind() throws InvalidTraceException {
        addAnsweredCall("a", 0, false, 100, 40);
        addArrival("b", 100, false, 100);
        events.add(new TraceEvent.Refused(100_000, "b", 1100, "the queue is full"));
        addAnsweredCall("c", 110, false, 100, 10);
        Outcomes outcomes = replay(OptionalInt.empty());
        assertEquals(3, tally(outcomes).getAnswered());
        assertEquals(30, Math.round(outcomes.queueDelay(100) / 1000.0));
    }

    /** Without the median, a call cancelled at its deadline would never be answered, however early it starts. */
    @Test
    void callsCancelledAtTheirDeadlineTakeAtLeastTheMedian() throws InvalidTraceException {
        addAnsweredCall("a", 0, false, 100, 40);
        addArrival("b", 100, false, 100);
        events.add(new TraceEvent.Handover(195_000, "b"));
        events.add(new TraceEvent.Refused(200_000, "b", 1202, "no whole answer in time"));
        events.add(new TraceEvent.End(200_000, "b", CallEnd.CANCELLED, 5_000));
        addAnsweredCall("c", 110, false, 100, 10);
        Outcomes outcomes = replay(OptionalInt.empty());
        assertEquals(3, tally(outcomes).getAnswered());
        assertEquals(30, Math.round(outcomes.queueDelay(100) / 1000.0));
    }

    @Test
    void onlyRepeatableCallsFreeTheirSlotAtTheDeadline() throws InvalidTraceException {
        addAnsweredCall("a", 0, false, 50, 80);
        addAnsweredCall("b", 10, false, 100, 10);
        addAnsweredCall("c", 200, true, 50, 80);
        addAnsweredCall("d", 210, false, 100, 10);
        Outcomes outcomes = replay(OptionalInt.empty());
        assertEquals(Map.of(1202, 2), tally(outcomes).getRefused());
        assertEquals(70, Math.round(outcomes.queueDelay(100) / 1000.0));
    }

    @Test
    void waitingCallsOfCallersThatWentAwayAreCancelled() throws InvalidTraceException {
        addAnsweredCall("a", 0, false, 100, 60);
        addArrival("b", 1, false, 100);
        events.add(new TraceEvent.Refused(30_000, "b", 1109, "cancelled while it waited"));
        assertEquals(Map.of(1109, 1), tally(replay(OptionalInt.empty())).getRefused());
    }

    @Test
    void changedLimitsApplyFromTheirTime() throws InvalidTraceException {
        addAnsweredCall("a", 0, false, 100, 60);
        addAnsweredCall("b", 1, false, 100, 30);
        events.add(new TraceEvent.LimitsChanged(25_000, LIMITS.withSlots(2)));
        assertEquals(24, Math.round(replay(OptionalInt.empty()).queueDelay(100) / 1000.0));
    }

    @Test
    void incompleteTracesAreReportedAndInvalidOnesAreRejected() throws InvalidTraceException {
        events.add(new TraceEvent.Handover(1, "unknown"));
        events.add(new TraceEvent.Dropped(3));
        Trace trace = Trace.of(events);
        assertEquals(1, trace.strayLines());
        assertEquals(3, trace.droppedLines());
        assertThrows(InvalidTraceException.class, () -> Trace.of(events.subList(1, 2)));
        assertInvalidWith(new TraceEvent.End(1, "a", CallEnd.ANSWERED, -1));
        assertInvalidWith(new TraceEvent.Refused(Long.MAX_VALUE, "a", 1109, "late"));
        assertInvalidWith(new TraceEvent.LimitsChanged(1, LIMITS.withSlots(0)));
        addArrival("a", -1, false, 100);
        assertThrows(InvalidTraceException.class, () -> Trace.of(events));
    }

    private void assertInvalidWith(TraceEvent event) {
        List<TraceEvent> all = new ArrayList<>(events);
        all.add(event);
        assertThrows(InvalidTraceException.class, () -> Trace.of(all));
    }

    private Outcomes replay(OptionalInt slots) throws InvalidTraceException {
        return Replay.run(Trace.of(events), slots);
    }

    private static Tally tally(Outcomes outcomes) {
        return outcomes.tally(0, PriorityClass.STANDARD);
    }

    private void addArrival(String call, long millisecond, boolean atMostOnce, int deadlineLeft) {
        events.add(new TraceEvent.Arrival(
                millisecond * 1000, call, call, "k", PriorityClass.STANDARD, 0, atMostOnce, false, deadlineLeft));
    }

    /** Adds a call that was recorded as answered after this many milliseconds in its slot. */
    private void addAnsweredCall(
            String call, long millisecond, boolean atMostOnce, int deadlineLeft, int runMilliseconds) {
        addArrival(call, millisecond, atMostOnce, deadlineLeft);
        long end = (millisecond + runMilliseconds) * 1000;
        events.add(new TraceEvent.Handover(millisecond * 1000, call));
        events.add(new TraceEvent.End(end, call, CallEnd.ANSWERED, runMilliseconds * 1000L));
    }
}
