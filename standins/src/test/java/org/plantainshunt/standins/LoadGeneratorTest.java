package org.plantainshunt.standins;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.junit.jupiter.api.Test;
import org.plantainshunt.configuration.PriorityClass;
import ratpack.handling.Context;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LoadGeneratorTest {
    private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);

    private final Collection<AttemptRecord> attempts = new ConcurrentLinkedQueue<>();

    /** Guards against requests that are not counted, and against latencies that omit the service time. */
    @Test
    void countsEveryRequestAndItsFullLatency() throws Exception {
        try (BackendServer server = server(20)) {
            LoadResult result = run(server.endpoint(), "bells/ring=100,class=critical,size=2000", RetryStyle.NONE);
            LoadResult.Counts counts = result.of(PriorityClass.CRITICAL).orElseThrow();
            assertEquals(counts.offered(), counts.count(RequestOutcome.WHOLE), counts.toString());
            assertTrue(counts.offered() > 60 && counts.offered() < 140, counts.toString());
            assertTrue(counts.p50Milliseconds() >= 19 && counts.p50Milliseconds() < 60, counts.toString());
            assertEquals(0, result.unfinished());
        }
    }

    /** Guards against retrying with a new ticket after an unknown outcome, which could run a request twice. */
    @Test
    void retriesUnknownOutcomeWithSameTicketOnly() throws Exception {
        try (FakeNode node = new FakeNode(LoadGeneratorTest::ticketThenUnknown)) {
            LoadResult result = run(node.endpoint(), "bells/ring=10,once", RetryStyle.HARD);
            LoadResult.Counts counts = result.byKind().get(0);
            assertEquals(counts.offered(), counts.count(RequestOutcome.UNKNOWN), counts.toString());
            assertEquals(3, counts.mostAttempts());
            assertEquals(Map.of(1200, counts.offered()), counts.unknownCodes());
            assertEquals(counts.offered(), counts.ticketRounds());
            assertTrue(attempts.stream()
                    .allMatch(attempt -> attempt.result() == 1105
                            ? attempt.ticket().isEmpty()
                            : attempt.ticket().equals("t-" + attempt.workId())));
        }
    }

    /** Guards against counting a response that belongs to another request as a success. */
    @Test
    void countsMismatchedResponseAsDamaged() throws Exception {
        try (FakeNode node = new FakeNode(
                context -> context.getResponse().send(ResponseBody.write("r", "other", "ring", "fake", 10)))) {
            LoadResult result = run(node.endpoint(), "bells/ring=10", RetryStyle.HARD);
            LoadResult.Counts counts = result.byKind().get(0);
            assertEquals(counts.offered(), counts.count(RequestOutcome.DAMAGED), counts.toString());
        }
    }

    private static void ticketThenUnknown(Context context) {
        String workId = context.getRequest().getHeaders().get(HeaderNames.WORK_ID);
        if (FakeNode.requireTicket(context, "t-" + workId)) {
            return;
        }
        context.getResponse().getHeaders().set(HeaderNames.RESULT, "1200");
        context.getResponse().status(502).send();
    }

    private static BackendServer server(double milliseconds) throws Exception {
        return new BackendServer(new BackendServerOptions(
                ANY_PORT,
                "bells",
                50,
                50,
                // The load generator requests /SERVICE/KIND, and a backend server takes the first segment as the kind.
                Map.of("bells", milliseconds),
                new ServiceTimes.Spread(0, 0, 1, 0),
                List.of(),
                1,
                Optional.empty(),
                1,
                0,
                1_000,
                Optional.empty()));
    }

    private LoadResult run(Endpoint entry, String kind, RetryStyle style) throws Exception {
        LoadPlan plan = new LoadPlan(
                "test",
                List.of(entry),
                List.of(KindLoad.parse(kind)),
                LoadShape.STEADY,
                Duration.ofMillis(300),
                Duration.ofSeconds(1),
                7,
                style,
                3,
                1_000);
        return new LoadGenerator(plan, attempts::add, progress -> {}).run();
    }
}
