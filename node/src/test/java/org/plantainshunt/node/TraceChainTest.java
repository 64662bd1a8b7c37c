package org.plantainshunt.node;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Each hop of a call must have a span with the right parent; a refusal must have the same code in the response, the
 * log, the span and the metrics, with the caller's request id in all but the metrics.
 */
class TraceChainTest {
    private static final String TRACE = "0af7651916cd43dd8448eb211c80319c";
    private static final String CALLER_SPAN = "b7ad6b7169203331";

    @TempDir
    Path directory;

    private volatile InetSocketAddress outbound;
    private volatile RawCaller.Answer outboundAnswer;

    @Test
    void eachHopHasASpanWithTheRightParent() throws Exception {
        try (NodeUnderTest fixture = start()) {
            String parent = "traceparent: 00-" + TRACE + "-" + CALLER_SPAN + "-01";
            RawCaller.Answer answer =
                    fixture.call(RawCaller.post("/front/chain/x", "", parent, "Plantainshunt-Request-Id: chain-1"));
            assertEquals(1000, answer.result(), answer.body());
        }
        assertEquals("chain-1", outboundAnswer.requestId(), "a call of the backend server inherits the request id");
        Map<String, JsonNode> spans = spans(TRACE);
        String[] hops = {"entry front/chain", "serving front/chain", "entry front/browse", "serving front/browse"};
        assertEquals(hops.length, spans.size(), spans.toString());
        String parentSpanId = CALLER_SPAN;
        for (String hop : hops) {
            assertEquals(parentSpanId, spans.get(hop).path("parentSpanId").asText(), hop);
            assertEquals("chain-1", attribute(spans.get(hop), "plantainshunt.request-id"), hop);
            assertEquals("1000", attribute(spans.get(hop), "plantainshunt.result"), hop);
            parentSpanId = spans.get(hop).path("spanId").asText();
        }
    }

    @Test
    void aRefusalIsTheSameInAnswerLogSpanAndMetric() throws Exception {
        ListAppender<ILoggingEvent> lines = new ListAppender<>();
        lines.start();
        Logger logger = (Logger) LoggerFactory.getLogger("refusal");
        logger.addAppender(lines);
        try (NodeUnderTest fixture = start()) {
            RawCaller.Answer answer = fixture.call(RawCaller.post(
                    "/front/nothing",
                    "",
                    "Plantainshunt-Request-Id: r-1",
                    "traceparent: 00-" + TRACE + "-" + CALLER_SPAN + "-01"));
            assertEquals(1302, answer.result());
            assertEquals("r-1", answer.requestId());
            assertEquals(
                    1304,
                    fixture.call(RawCaller.post(
                                    "/front/browse",
                                    "",
                                    "X-Long: " + "x".repeat(9000),
                                    "Plantainshunt-Request-Id: r-2"))
                            .result());
            NodeUnderTest.await(() -> lines.list.size() >= 2);
            JsonNode counters = fixture.admin("/metrics").json().path("counters");
            assertEquals(1, counters.path("entry.result.1302").asInt());
            assertEquals(1, counters.path("entry.result.1304").asInt());
        } finally {
            logger.detachAppender(lines);
        }
        assertTrue(logged(lines, "requestId=r-1").contains("code=1302"));
        assertTrue(logged(lines, "requestId=r-2").contains("code=1304"));
        JsonNode span = spans(TRACE).get("entry front/nothing");
        assertEquals("1302", attribute(span, "plantainshunt.result"));
        assertEquals("r-1", attribute(span, "plantainshunt.request-id"));
    }

    private NodeUnderTest start() throws Exception {
        NodeUnderTest fixture = new NodeUnderTest(this::answer, Optional.of(directory.resolve("spans")));
        outbound = fixture.settings.outboundAddress();
        return fixture;
    }

    private boolean answer(FakeHttpServer.Request request, OutputStream out) throws IOException {
        if (request.path().startsWith("/chain")) {
            outboundAnswer = RawCaller.call(
                    outbound,
                    RawCaller.post(
                            "/front/browse/deep",
                            "",
                            "Plantainshunt-Context: " + request.headers().get("plantainshunt-context"),
                            "traceparent: " + request.headers().get("traceparent")));
        }
        return NodeUnderTest.answer(out, "whole");
    }

    private static String logged(ListAppender<ILoggingEvent> lines, String containing) {
        return lines.list.stream()
                .map(line -> java.util.Arrays.toString(line.getArgumentArray()))
                .filter(text -> text.contains(containing))
                .findFirst()
                .orElse("");
    }

    /** Returns the spans of a trace by their name. */
    private Map<String, JsonNode> spans(String trace) throws IOException {
        Map<String, JsonNode> found = new LinkedHashMap<>();
        for (String line : Files.readAllLines(directory.resolve("spans.0"))) {
            for (JsonNode span :
                    new ObjectMapper().readTree(line).findValues("spans").get(0)) {
                if (span.path("traceId").asText().equals(trace)) {
                    found.put(span.path("name").asText(), span);
                }
            }
        }
        return found;
    }

    private static String attribute(JsonNode span, String key) {
        for (JsonNode attribute : span.path("attributes")) {
            if (attribute.path("key").asText().equals(key)) {
                return attribute.path("value").elements().next().asText();
            }
        }
        return "";
    }
}
