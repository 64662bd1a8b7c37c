package org.plantainshunt.node;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A node must record each call from its arrival to its end, because a replay needs the run times. */
class DecisionRecordTest {
    private static final int CALLS = 20;

    @TempDir
    Path directory;

    @Test
    void callsAreRecordedFromArrivalToEnd() throws Exception {
        Path file = directory.resolve("decisions.jsonl");
        try (NodeUnderTest fixture = new NodeUnderTest(
                (request, out) -> {
                    if (request.path().endsWith("cut")) {
                        NodeUnderTest.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                        return false;
                    }
                    return NodeUnderTest.answer(out, "whole");
                },
                Optional.empty(),
                Optional.of(file))) {
            for (int i = 0; i < CALLS; i++) {
                fixture.call(RawCaller.post("/front/browse/ok", ""));
            }
            assertEquals(
                    1203, fixture.call(RawCaller.post("/front/browse/cut", "")).result());
        }
        Map<String, List<String>> events = new HashMap<>();
        for (String line : Files.readAllLines(file)) {
            JsonNode json = new ObjectMapper().readTree(line);
            String detail = json.path("how").asText() + json.path("code").asText();
            events.computeIfAbsent(json.path("call").asText(), unused -> new ArrayList<>())
                    .add(json.path("event").asText() + detail);
        }
        assertEquals(List.of("header"), events.remove(""));
        List<List<String>> calls = new ArrayList<>(events.values());
        assertTrue(calls.remove(List.of("arrival", "hand-over", "endFAILED", "refusal1203")), calls.toString());
        assertTrue(calls.size() >= CALLS, calls.toString());
        calls.forEach(call -> assertEquals(List.of("arrival", "hand-over", "endANSWERED"), call));
    }
}
