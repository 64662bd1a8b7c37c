package org.plantainshunt.telemetry;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

import com.codahale.metrics.Counter;
import org.plantainshunt.admission.CallEnd;
import org.plantainshunt.admission.CallEntry;
import org.plantainshunt.admission.Priority;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.replay.TraceEvent;
import org.plantainshunt.result.Refusal;

/**
 * Turns what the serving side decided into the lines of a {@link TraceFile}.
 *
 * <p>Called on the decision duty's thread, which only makes the event; the telemetry duty formats and writes it. If
 * that duty is behind, the event is dropped and counted, and a line in the trace says how many are missing there.
 */
final class DecisionTrace {
    private static final long NANOSECONDS_PER_MICROSECOND = 1000;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final TraceFile file;
    private final Predicate<Runnable> telemetryDuty;
    private final Counter droppedTotal;
    private final AtomicLong dropped = new AtomicLong();
    private TraceEvent.Header header;
    private long start;
    /** Confined to the telemetry duty's thread. */
    private boolean headerWritten;

    /**
     * Creates a recorder.
     *
     * @param telemetryDuty runs a task on the thread of the file, or returns false if it has no room
     * @param droppedTotal counts the events that were dropped
     */
    DecisionTrace(TraceFile file, Predicate<Runnable> telemetryDuty, Counter droppedTotal) {
        this.file = file;
        this.telemetryDuty = telemetryDuty;
        this.droppedTotal = droppedTotal;
    }

    /** Begins the trace with a header, or notes a change of the limits. */
    void limits(Service service, long now) {
        TraceEvent.Limits limits = TraceEvent.Limits.of(service);
        if (header != null) {
            record(new TraceEvent.LimitsChanged(microseconds(now), limits));
            return;
        }
        start = now;
        header = new TraceEvent.Header(TraceEvent.VERSION, file.node(), service.name(), limits);
        // If there is no room now, the header goes before the first event that finds room.
        telemetryDuty.test(this::writeHeader);
    }

    void arrived(CallEntry entry, String requestId, long now) {
        Priority priority = entry.priority();
        record(new TraceEvent.Arrival(
                microseconds(now),
                entry.id(),
                requestId,
                entry.kind(),
                priority.priorityClass(),
                priority.cohort(),
                entry.atMostOnce(),
                (entry.deadline() - now) / NANOSECONDS_PER_MILLISECOND));
    }

    void started(CallEntry entry, long now) {
        record(new TraceEvent.Handover(microseconds(now), entry.id()));
    }

    void ended(CallEntry entry, CallEnd how, long now) {
        long runTime = (now - entry.startedAt()) / NANOSECONDS_PER_MICROSECOND;
        record(new TraceEvent.End(microseconds(now), entry.id(), how, runTime));
    }

    void refused(CallEntry entry, Refusal refusal, long now) {
        record(new TraceEvent.Refused(
                microseconds(now), entry.id(), refusal.code().number(), refusal.detail()));
    }

    private long microseconds(long now) {
        return (now - start) / NANOSECONDS_PER_MICROSECOND;
    }

    private void record(TraceEvent event) {
        if (!file.open()) {
            return;
        }
        if (!telemetryDuty.test(() -> write(event))) {
            dropped.incrementAndGet();
            droppedTotal.inc();
        }
    }

    private void write(TraceEvent event) {
        writeHeader();
        noteDropped();
        file.write(event);
    }

    private void writeHeader() {
        if (!headerWritten) {
            headerWritten = true;
            file.write(header);
        }
    }

    private void noteDropped() {
        long missing = dropped.getAndSet(0);
        if (missing > 0) {
            file.write(new TraceEvent.Dropped(missing));
        }
    }

    /** Writes what is known to be missing and closes the file; called when neither duty runs any more. */
    void close() {
        if (header != null) {
            writeHeader();
            noteDropped();
        }
        file.close();
    }
}
