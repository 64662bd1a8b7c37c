package org.plantainshunt.bench.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.standins.Endpoint;
import org.plantainshunt.standins.KindLoad;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Checks the invariants AT_MOST_ONCE, NOT_RUN_HONEST and WHOLE_ANSWER of {@link
 * org.plantainshunt.bench.InvariantChecker} when a connection is cut at a known stage of a call.
 */
class CutConnectionsTest {
    private static final Duration STEP_TIMEOUT = Duration.ofSeconds(5);
    /** Extends the service time of 40 ms, so that the cut falls into the run, yet within the deadline of 1 s. */
    private static final double SLOW_FACTOR = 8;
    /** The answer takes about half a second over the link with limited bandwidth. */
    private static final int LONG_RESPONSE_BYTES = 120_000;

    private static final long LIMITED_BITS_PER_SECOND = 2_000_000;
    private static final int PART_OF_RESPONSE_BYTES = 20_000;

    /** Gives each probe its own work id, so that no probe looks like a retry of another. */
    private static final AtomicLong PROBES = new AtomicLong();

    private static Fleet fleet;
    private static KindLoad store;
    private static KindLoad lookup;

    private final RecordingCaller caller = new RecordingCaller();

    @BeforeAll
    static void startFleet() throws Exception {
        FleetDocument document = FleetTesting.document();
        FleetPlan plan = FleetPlan.small(document).withVmsPerService(1);
        fleet = Fleet.startWithRelays(plan, FleetTesting.directory("cut-connections"));
        fleet.awaitReady(FleetTesting.START_TIMEOUT);
        store = FleetTesting.load(document, "archive", "store");
        lookup = FleetTesting.load(document, "archive", "lookup");
        awaitServing();
    }

    @AfterAll
    static void stopFleet() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @AfterEach
    void checkRecords() throws Exception {
        FleetTesting.assertConsistentWithRecords(fleet, caller.attempts());
    }

    /** Guards against "not run" for a ticket that may have been delivered before, which the entry node cannot know. */
    @Test
    void reportsATicketAsUnknownIfTheNodeThatIssuedItCannotBeReached() throws Exception {
        String ticket = ticket("node-before-send");
        relay().cut("", target().innerAddress().toString());
        assertEquals(
                ResultCode.OUTCOME_UNKNOWN.number(),
                send("node-before-send", ticket).result());
        RecordingCaller.Reply repeatable = caller.send(entry(), lookup, "lookup-before-send", "");
        assertTrue(repeatable.nodeSaysNotRun(), repeatable.toString());
        heal();
        assertTrue(send("node-before-send", ticket).whole());
        assertEquals(1, received("node-before-send"));
        assertEquals(0, received("lookup-before-send"));
    }

    /** Guards against a second run, or a wrong outcome, after the link between nodes is cut during the run. */
    @Test
    void givesTheOutcomeToARepeatAfterTheLinkBetweenNodesBrokeDuringTheRun() throws Exception {
        String ticket = ticket("node-after-send");
        target().setServiceTimeFactor(SLOW_FACTOR);
        CompletableFuture<RecordingCaller.Reply> first = sendLater(store, "node-after-send", ticket);
        FleetTesting.await("the request runs", STEP_TIMEOUT, () -> received("node-after-send") == 1);
        relay().cut("", target().innerAddress().toString());
        assertEquals(
                ResultCode.OUTCOME_UNKNOWN.number(),
                first.get(5, TimeUnit.SECONDS).result());
        heal();
        RecordingCaller.Reply repeat = send("node-after-send", ticket);
        assertTrue(repeat.whole(), repeat.toString());
        assertEquals(1, received("node-after-send"));
    }

    /** Guards against a truncated answer between nodes that is taken as complete, and a second run by the repeat. */
    @Test
    void reportsAnAnswerCutBetweenNodesAndRepeatsItWhole() throws Exception {
        KindLoad large = FleetTesting.withResponseBytes(store, LONG_RESPONSE_BYTES);
        String ticket = ticket("node-mid-answer");
        cutDuringAnswer(large, "node-mid-answer", ticket, target().innerAddress());
        RecordingCaller.Reply repeat = caller.send(entry(), large, "node-mid-answer", ticket);
        assertEquals(ResultCode.ANSWERED_AGAIN.number(), repeat.result(), repeat.toString());
        assertTrue(repeat.whole(), repeat.toString());
        assertEquals(1, received("node-mid-answer"));
    }

    /** Guards against a request that is handed over later, after the first connection was reset before it arrived. */
    @Test
    void neverHandsOverLaterWhatTheLinkToTheBackendServerLost() throws Exception {
        String ticket = ticket("server-before-send");
        relay().cut("", target().backendServerAddress().toString());
        // The relay accepts before it resets. If the node sees the connection open first, it cannot know that nothing
        // arrived; if it sees the reset first (finishConnect fails), it has written nothing and voids the ticket.
        int first = send("server-before-send", ticket).result();
        boolean written = first == ResultCode.OUTCOME_UNKNOWN.number();
        assertTrue(written || first == ResultCode.CONNECT_FAILED.number(), "result " + first);
        heal();
        String repeat = send("server-before-send", ticket).attempt().run();
        assertEquals(written ? "unknown" : "not-run", repeat);
        assertEquals(0, received("server-before-send"));
    }

    /** Guards against a second hand-over after the connection to the backend server is cut during the run. */
    @Test
    void neverHandsOverAgainAfterTheLinkToTheBackendServerBrokeDuringTheRun() throws Exception {
        String ticket = ticket("server-after-send");
        target().setServiceTimeFactor(SLOW_FACTOR);
        CompletableFuture<RecordingCaller.Reply> first = sendLater(store, "server-after-send", ticket);
        FleetTesting.await("the request runs", STEP_TIMEOUT, () -> received("server-after-send") == 1);
        relay().cut("", target().backendServerAddress().toString());
        assertEquals(
                ResultCode.OUTCOME_UNKNOWN.number(),
                first.get(5, TimeUnit.SECONDS).result());
        heal();
        assertEquals("unknown", send("server-after-send", ticket).attempt().run());
        assertEquals(1, received("server-after-send"));
    }

    /** Guards against a truncated answer of a backend server that is taken as complete. */
    @Test
    void reportsAnAnswerCutByTheBackendServer() throws Exception {
        KindLoad large = FleetTesting.withResponseBytes(store, LONG_RESPONSE_BYTES);
        String ticket = ticket("server-mid-answer");
        cutDuringAnswer(large, "server-mid-answer", ticket, target().backendServerAddress());
        RecordingCaller.Reply repeat = caller.send(entry(), large, "server-mid-answer", ticket);
        assertEquals("unknown", repeat.attempt().run(), repeat.toString());
        assertEquals(1, received("server-mid-answer"));
    }

    /** Guards against work that is lost or runs again if the caller closes its connection during the run. */
    @Test
    void keepsTheOutcomeForACallerThatClosesItsConnectionDuringTheRun() throws Exception {
        String ticket = ticket("caller-went-away");
        target().setServiceTimeFactor(SLOW_FACTOR);
        RecordingCaller.Reply first = caller.send(entry(), store, "caller-went-away", ticket, Duration.ofMillis(150));
        assertEquals(0, first.attempt().status());
        FleetTesting.await("the request runs", STEP_TIMEOUT, () -> received("caller-went-away") == 1);
        heal();
        assertTrue(send("caller-went-away", ticket).whole());
        assertEquals(1, received("caller-went-away"));
    }

    /** Sends a request and cuts the link to a target once the relay has received part of the answer. */
    private RecordingCaller.Reply cutDuringAnswer(KindLoad large, String workId, String ticket, Endpoint target)
            throws Exception {
        relay().limitBandwidth(target.toString(), LIMITED_BITS_PER_SECOND);
        long before = relay().bytesFromTargets();
        CompletableFuture<RecordingCaller.Reply> first = sendLater(large, workId, ticket);
        FleetTesting.await(
                "the relay has received part of the answer",
                STEP_TIMEOUT,
                () -> relay().bytesFromTargets() - before > PART_OF_RESPONSE_BYTES);
        relay().cut("", target.toString());
        RecordingCaller.Reply reply = first.get(5, TimeUnit.SECONDS);
        assertEquals("unknown", reply.attempt().run(), reply.toString());
        heal();
        return reply;
    }

    private String ticket(String workId) throws Exception {
        heal();
        return caller.send(entry(), store, workId, "").freshTicket().orElseThrow();
    }

    private RecordingCaller.Reply send(String workId, String ticket) throws InterruptedException {
        return caller.send(entry(), store, workId, ticket);
    }

    private CompletableFuture<RecordingCaller.Reply> sendLater(KindLoad kind, String workId, String ticket) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return caller.send(entry(), kind, workId, ticket);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted", interrupted);
            }
        });
    }

    private long received(String workId) throws IOException {
        return fleet.records().stream()
                .filter(request -> request.workId().equals(workId))
                .count();
    }

    /** Removes all link faults and waits until calls succeed again. */
    private static void heal() throws Exception {
        relay().heal();
        target().setServiceTimeFactor(1);
        awaitServing();
    }

    private static void awaitServing() throws Exception {
        RecordingCaller probe = new RecordingCaller();
        FleetTesting.await("calls succeed", Duration.ofSeconds(15), () -> probe.send(
                        entry(), lookup, "probe" + PROBES.incrementAndGet(), "")
                .whole());
    }

    private static FleetRelay relay() {
        return fleet.relays().links();
    }

    private static FleetVm target() {
        return fleet.vms("archive").get(0);
    }

    private static Endpoint entry() {
        return fleet.vms("recorder").get(0).callerAddress();
    }
}
