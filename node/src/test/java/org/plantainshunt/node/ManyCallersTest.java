package org.plantainshunt.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** The number of concurrent requests and the total size of their bodies must be bounded, to bound memory. */
class ManyCallersTest {
    private static NodeUnderTest fixture;

    @BeforeAll
    static void start() throws Exception {
        fixture = new NodeUnderTest((request, out) -> NodeUnderTest.answer(out, "whole"), Optional.empty());
    }

    @AfterAll
    static void stop() throws IOException {
        fixture.close();
    }

    @Test
    void requestsOverTheLimitAreRefused() throws Exception {
        int beyond = 50;
        Map<Integer, Integer> results = callAtOnce(beyond, 2048 + beyond, 10, 5);
        assertEquals(Map.of(1108, beyond), results);
    }

    @Test
    void bodiesOverTheTotalLimitAreRefused() throws Exception {
        int size = 64 * 1024;
        int fit = 16 * 1024 * 1024 / (size - 1);
        Map<Integer, Integer> results = callAtOnce(20, fit + 20, size, size - 1);
        assertEquals(Set.of(1108), results.keySet());
        // Two bodies that arrive at the same moment may both be refused where one would have fitted.
        int refused = results.get(1108);
        assertTrue(refused >= 20 && refused <= 30, refused + " were refused");
    }

    /**
     * Opens requests with incomplete bodies at the same time, and returns how many were refused with each result code.
     *
     * @param refused the number of refusals to wait for
     * @param count the number of requests
     * @param length the stated length of each body, in bytes
     * @param sent the number of bytes sent of each body
     */
    private static Map<Integer, Integer> callAtOnce(int refused, int count, int length, int sent) throws Exception {
        List<RawCaller> callers = new ArrayList<>();
        Map<Integer, Integer> results = new HashMap<>();
        String request = "POST /front/wait/x HTTP/1.1\r\nHost: node\r\nContent-Length: " + length + "\r\n\r\n"
                + "x".repeat(sent);
        try {
            for (int i = 0; i < count; i++) {
                callers.add(fixture.caller());
                callers.get(i).send(request);
            }
            NodeUnderTest.await(() -> answered(callers) >= refused);
            Thread.sleep(200);
            for (RawCaller caller : callers) {
                caller.readIfAnswered().ifPresent(answer -> results.merge(answer.result(), 1, Integer::sum));
            }
        } finally {
            for (RawCaller caller : callers) {
                caller.close();
            }
        }
        NodeUnderTest.await(() -> fixture.openRequests() == 0);
        assertEquals(1000, fixture.call(RawCaller.post("/front/browse/ok", "")).result());
        return results;
    }

    private static long answered(List<RawCaller> callers) throws IOException {
        long count = 0;
        for (RawCaller caller : callers) {
            count += caller.isAnswered() ? 1 : 0;
        }
        return count;
    }
}
