package org.plantainshunt.replay;

import java.util.Optional;

import org.plantainshunt.admission.CallEnd;

/**
 * The events of one call in a trace.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param arrival its arrival
 * @param handover its hand-over, if it was handed over
 * @param end its end, if it was handed over and ended before the trace did
 * @param refused the first refusal, if there was one
 */
record RecordedCall(
        TraceEvent.Arrival arrival,
        Optional<TraceEvent.Handover> handover,
        Optional<TraceEvent.End> end,
        Optional<TraceEvent.Refused> refused) {
    RecordedCall(TraceEvent.Arrival arrival) {
        this(arrival, Optional.empty(), Optional.empty(), Optional.empty());
    }

    RecordedCall with(TraceEvent.Handover event) {
        return new RecordedCall(arrival, Optional.of(event), end, refused);
    }

    RecordedCall with(TraceEvent.End event) {
        return new RecordedCall(arrival, handover, Optional.of(event), refused);
    }

    RecordedCall with(TraceEvent.Refused event) {
        return new RecordedCall(arrival, handover, end, refused.or(() -> Optional.of(event)));
    }

    /** Returns whether the complete answer arrived within the deadline and no refusal was reported. */
    boolean answeredInTime() {
        return refused.isEmpty()
                && end.filter(event -> event.how() == CallEnd.ANSWERED && event.time() <= arrival.deadline())
                        .isPresent();
    }

    /** Returns whether the call ran to its end, so that its recorded run time is that of the complete work. */
    boolean ranToEnd() {
        return end.filter(event -> event.how() != CallEnd.CANCELLED).isPresent();
    }
}
