package org.plantainshunt.telemetry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import net.logstash.logback.argument.StructuredArguments;
import org.plantainshunt.admission.CallEnd;
import org.plantainshunt.admission.CallEntry;
import org.plantainshunt.call.CallRecorder;
import org.plantainshunt.call.CallReply;
import org.plantainshunt.call.InboundCall;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.duty.Duty;
import org.plantainshunt.protocol.CallMessage;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts and logs what the decisions did, and records the decisions of the serving side if there is a file for them.
 *
 * <p>Lines are written by a thread of their own; when its ring is full, lines are dropped and counted, so that a
 * slow file never delays a call. Safe for use by any thread.
 */
public final class Telemetry implements CallRecorder, AutoCloseable {
    private static final Logger LOGGER = LoggerFactory.getLogger("refusal");
    private static final int RING_SIZE = 4096;
    private static final Duration TICK = Duration.ofSeconds(1);

    private final MetricRegistry registry;
    private final Duty duty;
    private final Timer entryTime;
    private final Timer servingTime;
    private final Timer queueTime;
    private final Counter retries;
    private final Counter droppedLines;
    private final Optional<DecisionTrace> trace;

    /** Starts the thread that writes log lines. */
    public Telemetry(MetricRegistry registry) {
        this(registry, Optional.empty());
    }

    /**
     * Starts the thread that writes log lines and the trace of decisions.
     *
     * @param file the trace of decisions, which is closed with this object, or nothing to record none
     */
    public Telemetry(MetricRegistry registry, Optional<TraceFile> file) {
        this.registry = registry;
        this.duty = new Duty("telemetry", RING_SIZE, TICK, () -> file.ifPresent(TraceFile::flush));
        this.trace = file.map(
                target -> new DecisionTrace(target, duty::offer, registry.counter("telemetry.dropped-decisions")));
        this.entryTime = registry.timer("entry.time", Telemetry::timer);
        this.servingTime = registry.timer("serving.time", Telemetry::timer);
        this.queueTime = registry.timer("serving.queue-time", Telemetry::timer);
        this.retries = registry.counter("entry.retries");
        this.droppedLines = registry.counter("telemetry.dropped-lines");
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
    }

    @Override
    public void started(CallEntry entry, CallMessage message, long now) {
        trace.ifPresent(recorder -> recorder.started(entry, now));
        queueTime.update(now - entry.arrived(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void served(CallEntry entry, CallMessage message, ResultCode code, long now) {
        registry.counter("serving.result." + code.number()).inc();
        servingTime.update(now - entry.arrived(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void replied(InboundCall call, CallReply reply, long now) {
        registry.counter("entry.result." + reply.code().number()).inc();
        entryTime.update(now - call.arrived(), TimeUnit.NANOSECONDS);
        retries.inc(reply.retries());
        if (reply.refusal().isPresent() && reply.code() != ResultCode.TICKET_REQUIRED) {
            log(reply.requestId(), call.service(), call.kind(), reply.refusal().get(), reply.retries());
        }
    }

    /** Takes a request that was refused before its service and kind were read. */
    public void refusedUnread(String requestId, Refusal refusal) {
        registry.counter("entry.result." + refusal.code().number()).inc();
        log(requestId, "", "", refusal, 0);
    }

    /** Returns the share of the ring of log lines that is in use, 0 to 1. */
    public double fill() {
        return duty.fill();
    }

    @Override
    public void close() {
        duty.close();
        trace.ifPresent(DecisionTrace::close);
    }

    private void log(String requestId, String service, String kind, Refusal refusal, int retries) {
        boolean taken = duty.offer(() -> LOGGER.info(
                "request refused",
                StructuredArguments.kv("requestId", requestId),
                StructuredArguments.kv("service", service),
                StructuredArguments.kv("kind", kind),
                StructuredArguments.kv("code", refusal.code().number()),
                StructuredArguments.kv("name", refusal.code().name()),
                StructuredArguments.kv("run", refusal.code().runState().label()),
                StructuredArguments.kv("detail", refusal.detail()),
                StructuredArguments.kv("retries", retries)));
        if (!taken) {
            droppedLines.inc();
        }
    }
}
