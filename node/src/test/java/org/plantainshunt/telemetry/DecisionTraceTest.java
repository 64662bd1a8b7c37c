package org.plantainshunt.telemetry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.codahale.metrics.Counter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.plantainshunt.admission.CallEnd;
import org.plantainshunt.admission.CallEntry;
import org.plantainshunt.admission.Priority;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the format of the trace, and that it states where it is incomplete. */
class DecisionTraceTest {
    private static final Service SERVICE = new Service("archive", 30, 300, 60, Duration.ofMillis(20), 0.5, 10);
    private static final long START = 5_000_000_000L;
    private final Counter dropped = new Counter();
    private final CallEntry entry =
            new CallEntry("c-1", Priority.of(PriorityClass.IMPORTANT, 7), "store", true, START + 1_000_500_000L, START);

    @TempDir
    Path directory;

    @Test
    void linesHaveTheFormatThatReplayReads() throws IOException {
        DecisionTrace trace = trace(1 << 20, new LimitedExecutor(Integer.MAX_VALUE));
        trace.arrived(entry, "r-1", START + 500_000);
        trace.started(entry, START + 700_000);
        trace.ended(entry, CallEnd.SHED_BY_BACKEND_SERVER, START + 9_000_000);
        trace.refused(entry, Refusal.of(ResultCode.OVERLOADED, "the queue is full"), START + 9_000_000);
        trace.close();
        List<JsonNode> lines = lines();
        assertEquals(
                "{\"event\":\"header\",\"version\":1,\"node\":\"archive-1\",\"service\":\"archive\","
                        + "\"limits\":{\"slots\":30,\"queue\":60,"
                        + "\"targetQueueDelay\":20000,\"longWorkShare\":0.5,\"longWorkAfter\":10}}",
                lines.get(0).toString());
        assertEquals(
                "{\"event\":\"arrival\",\"time\":500,\"call\":\"c-1\",\"request\":\"r-1\",\"kind\":\"store\","
                        + "\"priorityClass\":\"IMPORTANT\",\"cohort\":7,\"atMostOnce\":true,"
                        + "\"continues\":false,\"deadlineLeft\":1000.0}",
                lines.get(1).toString());
        assertEquals(
                "{\"event\":\"hand-over\",\"time\":700,\"call\":\"c-1\"}",
                lines.get(2).toString());
        assertEquals("SHED_BY_BACKEND_SERVER", lines.get(3).path("how").asText());
        assertEquals(1100, lines.get(4).path("code").asInt());
    }

    @Test
    void droppedLinesAreCountedWhereTheyAreMissing() throws IOException {
        LimitedExecutor executor = new LimitedExecutor(2);
        DecisionTrace trace = trace(1 << 20, executor);
        for (int i = 0; i < 4; i++) {
            trace.started(entry, START);
        }
        executor.remainingTasks = 1;
        trace.started(entry, START);
        trace.started(entry, START);
        trace.close();
        List<String> events = new ArrayList<>();
        lines().forEach(line ->
                events.add(line.path("event").asText() + line.path("lines").asText()));
        assertEquals(List.of("header", "hand-over", "dropped3", "hand-over", "dropped1"), events);
        assertEquals(4, dropped.getCount());
    }

    @Test
    void fullTraceStaysWithinItsSizeLimitAndEndsWithFullEvent() throws IOException {
        DecisionTrace trace = trace(1000, new LimitedExecutor(Integer.MAX_VALUE));
        for (int i = 0; i < 1000; i++) {
            trace.started(entry, START);
        }
        trace.close();
        List<JsonNode> lines = lines();
        assertEquals("full", lines.get(lines.size() - 1).path("event").asText());
        assertEquals(1000, lines.get(lines.size() - 1).path("limitBytes").asInt());
        assertTrue(Files.size(file()) <= 1000, "the file has " + Files.size(file()) + " bytes");
        assertTrue(lines.size() > 10, "only " + lines.size() + " lines were written");
    }

    private DecisionTrace trace(long limitBytes, LimitedExecutor executor) throws IOException {
        DecisionTrace trace = new DecisionTrace(new TraceFile(file(), "archive-1", limitBytes), executor::run, dropped);
        trace.limits(SERVICE, START);
        return trace;
    }

    private Path file() {
        return directory.resolve("decisions.jsonl");
    }

    private List<JsonNode> lines() throws IOException {
        List<JsonNode> lines = new ArrayList<>();
        for (String line : Files.readAllLines(file())) {
            lines.add(new ObjectMapper().readTree(line));
        }
        return lines;
    }

    /** Stands in for the telemetry thread and accepts a limited number of tasks. */
    private static final class LimitedExecutor {
        private int remainingTasks;

        LimitedExecutor(int remainingTasks) {
            this.remainingTasks = remainingTasks;
        }

        private boolean run(Runnable task) {
            if (remainingTasks == 0) {
                return false;
            }
            remainingTasks--;
            task.run();
            return true;
        }
    }
}
