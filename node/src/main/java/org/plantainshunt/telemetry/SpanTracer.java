package org.plantainshunt.telemetry;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.FileHandler;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.logging.otlp.OtlpJsonLoggingSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import org.plantainshunt.call.HopTracer;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;

/**
 * Writes a span for each hop to a file, as OTLP JSON lines.
 *
 * <p>Spans are written by a thread of OpenTelemetry; when its queue is full, spans are dropped. The file is rotated at
 * a maximum size: {@code PATH.0} is the current file and {@code PATH.1} the previous one. Safe for use by any thread.
 */
public final class SpanTracer implements HopTracer, AutoCloseable {
    private static final int MAX_FILE_BYTES = 64 * 1024 * 1024;
    private static final int FILE_COUNT = 2;
    private static final int SHUTDOWN_TIMEOUT_SECONDS = 2;
    private static final String TRACE_PARENT = "traceparent";
    private static final TextMapGetter<String> GETTER = new TraceParentGetter();

    /** A strong reference; java.util.logging refers to loggers weakly and would lose this one with its handler. */
    private final Logger exporterLogger = Logger.getLogger(OtlpJsonLoggingSpanExporter.class.getName());

    private final SdkTracerProvider provider;
    private final Tracer tracer;
    private final FileHandler file;

    /**
     * Opens the file.
     *
     * @throws IOException if the file cannot be written
     */
    public SpanTracer(Path path, String node) throws IOException {
        this(path, node, MAX_FILE_BYTES);
    }

    SpanTracer(Path path, String node, int maxFileBytes) throws IOException {
        file = new FileHandler(path.toString(), maxFileBytes, FILE_COUNT, true);
        file.setFormatter(new MessageFormatter());
        exporterLogger.setUseParentHandlers(false);
        exporterLogger.addHandler(file);
        provider = SdkTracerProvider.builder()
                .setResource(Resource.create(Attributes.builder()
                        .put("service.name", "plantainshunt")
                        .put("node", node)
                        .build()))
                .addSpanProcessor(BatchSpanProcessor.builder(OtlpJsonLoggingSpanExporter.create())
                        .build())
                .build();
        tracer = provider.get("org.plantainshunt");
    }

    @Override
    public Hop begin(String role, String service, String kind, String traceParent) {
        Context parent = W3CTraceContextPropagator.getInstance().extract(Context.root(), traceParent, GETTER);
        Span span = tracer.spanBuilder(role + " " + service + "/" + kind)
                .setParent(parent)
                .setSpanKind(SpanKind.SERVER)
                .setAttribute("plantainshunt.role", role)
                .startSpan();
        return new SpanHop(span);
    }

    @Override
    public void close() {
        provider.shutdown().join(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        exporterLogger.removeHandler(file);
        file.close();
    }

    /** A hop backed by an OpenTelemetry span. */
    private record SpanHop(Span span) implements Hop {
        @Override
        public String traceParent() {
            SpanContext context = span.getSpanContext();
            return "00-" + context.getTraceId() + "-" + context.getSpanId() + "-"
                    + context.getTraceFlags().asHex();
        }

        @Override
        public void end(String requestId, ResultCode code) {
            span.setAttribute("plantainshunt.request-id", requestId);
            span.setAttribute("plantainshunt.result", code.number());
            span.setAttribute("plantainshunt.run", code.runState().label());
            if (code.runState() != RunState.RUN) {
                span.setStatus(StatusCode.ERROR, code.explanation());
            }
            span.end();
        }
    }

    /** Exposes a trace parent as a carrier with a single header. */
    private static final class TraceParentGetter implements TextMapGetter<String> {
        @Override
        public Iterable<String> keys(String traceParent) {
            return Map.of(TRACE_PARENT, traceParent).keySet();
        }

        @Override
        public String get(String traceParent, String key) {
            return TRACE_PARENT.equals(key) ? traceParent : null;
        }
    }

    /** Formats a log record as its message only. */
    private static final class MessageFormatter extends Formatter {
        @Override
        public String format(LogRecord entry) {
            return entry.getMessage() + System.lineSeparator();
        }
    }
}
