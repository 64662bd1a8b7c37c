package org.plantainshunt.telemetry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import net.logstash.logback.argument.StructuredArgument;
import net.logstash.logback.argument.StructuredArguments;
import org.plantainshunt.admission.CallEnd;
import org.plantainshunt.admission.CallEntry;
import org.plantainshunt.call.CallRecorder;
import org.plantainshunt.call.CallReply;
import org.plantainshunt.call.InboundCall;
import org.plantainshunt.call.Snapshot;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.duty.RingBufferWorker;
import org.plantainshunt.protocol.CallMessage;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts and logs the decisions about calls, and traces those of the serving side if a trace file is configured.
 *
 * <p>Lines are written by a separate thread. While its queue is at least half full, lines are dropped and counted, so
 * that a slow file never delays a call. Each kind of line has a rate limit, so that an overload of the node does not
 * overload the log. Safe for use by any thread.
 */
public final class Telemetry implements CallRecorder, AutoCloseable {
    private static final Logger REFUSALS = LoggerFactory.getLogger("refusal");
    private static final Logger DECISIONS = LoggerFactory.getLogger("decision");
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int QUEUE_CAPACITY = 4096;
    private static final Duration FLUSH_INTERVAL = Duration.ofSeconds(1);

    private final MetricRegistry registry;
    private final RingBufferWorker worker;
    private final Timer entryTime;
    private final Timer servingTime;
    private final Timer queueTime;
    private final Timer timeWithFullSlots;
    private final Timer timeWithFreeSlots;
    private final Counter retries;
    private final Counter droppedLines;
    private final LogRateLimiter refusalLines;
    private final LogRateLimiter unparsedRequestLines;
    private final LogRateLimiter retryLines;
    private final LogRateLimiter servingLines;
    private final LogRateLimiter errorLines;
    private final Optional<DecisionTrace> trace;

    /** Starts the thread that writes log lines. */
    public Telemetry(MetricRegistry registry) {
        this(registry, Optional.empty());
    }

    /**
     * Starts the thread that writes log lines and the trace of decisions.
     *
     * @param file the trace file, which is closed with this object, or empty to write no trace
     */
    public Telemetry(MetricRegistry registry, Optional<TraceFile> file) {
        this.registry = registry;
        this.worker = new RingBufferWorker(
                "telemetry", QUEUE_CAPACITY, FLUSH_INTERVAL, () -> file.ifPresent(TraceFile::flush));
        this.trace = file.map(
                target -> new DecisionTrace(target, worker::offer, registry.counter("telemetry.dropped-decisions")));
        this.entryTime = registry.timer("entry.time", Telemetry::timer);
        this.servingTime = registry.timer("serving.time", Telemetry::timer);
        this.queueTime = registry.timer("serving.queue-time", Telemetry::timer);
        this.timeWithFullSlots = registry.timer("serving.run-time.slots-full", Telemetry::timer);
        this.timeWithFreeSlots = registry.timer("serving.run-time.slots-free", Telemetry::timer);
        this.retries = registry.counter("entry.retries");
        this.droppedLines = registry.counter("telemetry.dropped-lines");
        this.refusalLines = new LogRateLimiter(droppedLines);
        this.unparsedRequestLines = new LogRateLimiter(droppedLines);
        this.retryLines = new LogRateLimiter(droppedLines);
        this.servingLines = new LogRateLimiter(droppedLines);
        this.errorLines = new LogRateLimiter(droppedLines);
    }

    private static Timer timer() {
        return new Timer(LockFreeExponentiallyDecayingReservoir.builder().build());
    }

    @Override
    public void limits(Service service, long now) {
        trace.ifPresent(recorder -> recorder.limits(service, now));
    }

    @Override
    public void arrived(CallEntry entry, CallMessage message, long now) {
        trace.ifPresent(recorder -> recorder.arrived(entry, message.requestId(), now));
    }

    @Override
    public void refused(CallEntry entry, Refusal refusal, long now) {
        trace.ifPresent(recorder -> recorder.refused(entry, refusal, now));
    }

    @Override
    public void ended(CallEntry entry, CallEnd end, long now) {
        trace.ifPresent(recorder -> recorder.ended(entry, end, now));
        if (end == CallEnd.ANSWERED) {
            Timer timer = entry.fillsSlots() ? timeWithFullSlots : timeWithFreeSlots;
            timer.update(now - entry.startedAt(), TimeUnit.NANOSECONDS);
        }
    }

    @Override
    public void overloaded(Snapshot snapshot) {
        write(() -> DECISIONS.info(
                "calls wait or are refused for their priority",
                StructuredArguments.kv("running", snapshot.running()),
                StructuredArguments.kv("waiting", snapshot.waiting()),
                StructuredArguments.kv("limit", snapshot.limit()),
                StructuredArguments.kv("level", snapshot.level()),
                StructuredArguments.kv("runTimeSlotsFullMs", meanMilliseconds(timeWithFullSlots)),
                StructuredArguments.kv("runTimeSlotsFreeMs", meanMilliseconds(timeWithFreeSlots))));
    }

    private static long meanMilliseconds(Timer timer) {
        return milliseconds((long) timer.getSnapshot().getMean());
    }

    @Override
    public void gaveUp(CallEntry entry, CallMessage message, long now) {
        registry.counter("serving.given-up").inc();
        if (servingLines.tryAcquire(now)) {
            write(() -> DECISIONS.warn(
                    "no outcome long after the deadline; the connection to the backend server is closed",
                    StructuredArguments.kv("requestId", message.requestId()),
                    StructuredArguments.kv("service", message.service()),
                    StructuredArguments.kv("overdueMs", milliseconds(now - entry.deadline()))));
        }
    }

    @Override
    public void started(CallEntry entry, CallMessage message, long now) {
        trace.ifPresent(recorder -> recorder.started(entry, now));
        queueTime.update(now - entry.arrivedAt(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void served(CallEntry entry, CallMessage message, ResultCode code, long now) {
        registry.counter("serving.result." + code.number()).inc();
        servingTime.update(now - entry.arrivedAt(), TimeUnit.NANOSECONDS);
        if (code != ResultCode.ANSWERED && code != ResultCode.ANSWERED_AGAIN && servingLines.tryAcquire(now)) {
            write(() -> DECISIONS.info(
                    "call refused or failed",
                    StructuredArguments.kv("requestId", message.requestId()),
                    StructuredArguments.kv("service", message.service()),
                    StructuredArguments.kv("kind", message.kind()),
                    StructuredArguments.kv("code", code.number()),
                    StructuredArguments.kv("name", code.name()),
                    StructuredArguments.kv("run", code.runState().label()),
                    StructuredArguments.kv("elapsedMs", milliseconds(now - entry.arrivedAt())),
                    StructuredArguments.kv("timeLeftMs", milliseconds(entry.deadline() - now)),
                    StructuredArguments.kv("configuration", message.documentNumber())));
        }
    }

    @Override
    public void retried(InboundCall call, Basis basis, ResultCode code, String detail, long now) {
        if (retryLines.tryAcquire(now)) {
            write(() -> DECISIONS.info(
                    "call retried",
                    fields(
                            call.requestId(),
                            call,
                            basis,
                            now,
                            StructuredArguments.kv("code", code.number()),
                            StructuredArguments.kv("detail", detail))));
        }
    }

    @Override
    public void replied(InboundCall call, CallReply reply, Basis basis, long now) {
        registry.counter("entry.result." + reply.code().number()).inc();
        entryTime.update(now - call.arrivedAt(), TimeUnit.NANOSECONDS);
        retries.inc(reply.retries());
        if (reply.refusal().isPresent() && reply.code() != ResultCode.TICKET_REQUIRED) {
            logRefusal(call, reply, basis, now);
        }
        if (reply.refusal().isEmpty() && reply.status() >= MIN_SERVER_ERROR_STATUS) {
            logError(call, reply, basis, now);
        }
    }

    /** Counts and logs a request that was refused before its service and kind were read. */
    public void refusedBeforeParsing(String requestId, Refusal refusal) {
        registry.counter("entry.result." + refusal.code().number()).inc();
        if (unparsedRequestLines.tryAcquire(System.nanoTime())) {
            write(() -> REFUSALS.info(
                    "request refused",
                    StructuredArguments.kv("requestId", requestId),
                    StructuredArguments.kv("code", refusal.code().number()),
                    StructuredArguments.kv("name", refusal.code().name()),
                    StructuredArguments.kv("run", refusal.code().runState().label()),
                    StructuredArguments.kv("detail", refusal.detail())));
        }
    }

    /**
     * Returns the fraction of the telemetry thread's queue that is in use, 0 to 1. While it is 0.5 or more, log lines
     * and trace events are dropped.
     */
    public double queueUtilization() {
        return worker.queueUtilization();
    }

    @Override
    public void close() {
        worker.close();
        trace.ifPresent(DecisionTrace::close);
    }

    private void logRefusal(InboundCall call, CallReply reply, Basis basis, long now) {
        if (!refusalLines.tryAcquire(now)) {
            return;
        }
        Refusal refusal = reply.refusal().orElseThrow();
        write(() -> REFUSALS.info(
                "request refused",
                fields(
                        reply.requestId(),
                        call,
                        basis,
                        now,
                        StructuredArguments.kv("code", refusal.code().number()),
                        StructuredArguments.kv("name", refusal.code().name()),
                        StructuredArguments.kv("run", refusal.code().runState().label()),
                        StructuredArguments.kv("detail", refusal.detail()),
                        StructuredArguments.kv("retries", reply.retries()),
                        StructuredArguments.kv("refusedShare", basis.refusedShare()))));
    }

    /** Logs an error answer of a backend server; without the line, such a failed request could not be explained. */
    private void logError(InboundCall call, CallReply reply, Basis basis, long now) {
        if (!errorLines.tryAcquire(now)) {
            return;
        }
        write(() -> DECISIONS.info(
                "backend server answered with an error",
                fields(
                        reply.requestId(),
                        call,
                        basis,
                        now,
                        StructuredArguments.kv("status", reply.status()),
                        StructuredArguments.kv("retries", reply.retries()),
                        StructuredArguments.kv("refusedShare", basis.refusedShare()))));
    }

    /** Returns the fields of a log line of an entry node: the common ones, with the line's own fields in between. */
    private static Object[] fields(
            String requestId, InboundCall call, Basis basis, long now, StructuredArgument... specificFields) {
        List<StructuredArgument> fields = new ArrayList<>();
        fields.add(StructuredArguments.kv("requestId", requestId));
        fields.add(StructuredArguments.kv("service", call.service()));
        fields.add(StructuredArguments.kv("kind", call.kind()));
        fields.addAll(List.of(specificFields));
        fields.add(StructuredArguments.kv("elapsedMs", milliseconds(now - call.arrivedAt())));
        fields.add(StructuredArguments.kv("server", basis.server()));
        fields.add(StructuredArguments.kv("configuration", basis.documentNumber()));
        fields.add(StructuredArguments.kv("vmList", basis.listRevision()));
        return fields.toArray();
    }

    private void write(Runnable line) {
        if (!worker.offer(line)) {
            droppedLines.inc();
        }
    }

    private static long milliseconds(long nanoseconds) {
        return TimeUnit.NANOSECONDS.toMillis(nanoseconds);
    }
}
