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
 * Writes the decisions of the serving side to a {@link TraceFile}.
 *
 * <p>Called on the decision thread, which only creates the event; the telemetry thread formats and writes it. If the
 * telemetry thread does not accept the task, the event is dropped and counted, and a line at that point of the trace
 * states how many are missing.
 */
final class DecisionTrace {
    private static final long NANOSECONDS_PER_MICROSECOND = 1000;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final TraceFile file;
    private final Predicate<Runnable> telemetryExecutor;
    private final Counter droppedTotal;
    private final AtomicLong unreportedDrops = new AtomicLong();
    private TraceEvent.Header header;
    private long start;
    /** Confined to the telemetry thread. */
    private boolean headerWritten;

    /**
     * Creates a trace.
     *
     * @param telemetryExecutor runs a task on the telemetry thread, or returns false if it does not accept the task
     * @param droppedTotal counts the events that were dropped
     */
    DecisionTrace(TraceFile file, Predicate<Runnable> telemetryExecutor, Counter droppedTotal) {
        this.file = file;
        this.telemetryExecutor = telemetryExecutor;
        this.droppedTotal = droppedTotal;
    }

    /** Starts the trace with a header, or records a change of the limits. */
    void limits(Service service, long now) {
        TraceEvent.Limits limits = TraceEvent.Limits.of(service);
        if (header != null) {
            record(new TraceEvent.LimitsChanged(microseconds(now), limits));
            return;
        }
        start = now;
        header = new TraceEvent.Header(TraceEvent.VERSION, file.node(), service.name(), limits);
        // If the task is not accepted, the header is written before the first event that is accepted.
        telemetryExecutor.test(this::writeHeader);
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
                entry.continues(),
                (entry.deadline() - now) / NANOSECONDS_PER_MILLISECOND));
    }

    void started(CallEntry entry, long now) {
        record(new TraceEvent.Handover(microseconds(now), entry.id()));
    }

    void ended(CallEntry entry, CallEnd end, long now) {
        long runTime = (now - entry.startedAt()) / NANOSECONDS_PER_MICROSECOND;
        record(new TraceEvent.End(microseconds(now), entry.id(), end, runTime));
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
        if (!telemetryExecutor.test(() -> write(event))) {
            unreportedDrops.incrementAndGet();
            droppedTotal.inc();
        }
    }

    private void write(TraceEvent event) {
        writeHeader();
        writeDropped();
        file.write(event);
    }

    private void writeHeader() {
        if (!headerWritten) {
            headerWritten = true;
            file.write(header);
        }
    }

    private void writeDropped() {
        long missing = unreportedDrops.getAndSet(0);
        if (missing > 0) {
            file.write(new TraceEvent.Dropped(missing));
        }
    }

    /**
     * Writes the number of missing events and closes the file. Called after the decision thread and the telemetry
     * thread have stopped.
     */
    void close() {
        if (header != null) {
            writeHeader();
            writeDropped();
        }
        file.close();
    }
}
