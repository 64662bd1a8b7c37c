package org.plantainshunt.execution;

import java.time.Duration;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.plantainshunt.configuration.Policy;
import org.plantainshunt.execution.TicketUse.Decision;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.RefusedException;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class TicketTableTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Refusal OVERLOADED = Refusal.of(ResultCode.OVERLOADED, "full");
    private static final Refusal CUT = Refusal.of(ResultCode.ANSWER_CUT, "connection closed");

    private final TicketTable table = table(7, 100);

    static TicketTable table(long incarnation, int capacity) {
        Policy policy = new Policy(3, 0.1, Duration.ofSeconds(30), Duration.ofSeconds(300), 1 << 20, 1 << 20);
        return new TicketTable("vm.1", incarnation, capacity, policy, new Random(incarnation));
    }

    static Outcome answer(int size) {
        return new Outcome(ResultCode.ANSWERED, 201, List.of("a: b"), new byte[size]);
    }

    private String issue(long now) throws RefusedException {
        return table.issue("scheduler", "push", now).text();
    }

    private TicketUse begin(String ticket, long now) {
        return table.begin(ticket, "scheduler", "push", now);
    }

    private static ResultCode code(TicketUse use) {
        return use.refusal().orElseThrow().code();
    }

    /** Guards against a caller that repeats an answered request and gets a second run or another answer. */
    @Test
    void repeatGetsTheStoredAnswer() throws RefusedException {
        String ticket = issue(0);
        assertEquals(Decision.START, begin(ticket, 0).decision());
        assertEquals(Decision.JOIN, begin(ticket, 1).decision());
        table.answered(ticket, answer(3), 2);
        Outcome outcome = begin(ticket, 3).outcome().orElseThrow();
        assertEquals(ResultCode.ANSWERED_AGAIN, outcome.code());
        assertEquals(201, outcome.status());
        assertArrayEquals(new byte[3], outcome.body());
    }

    /** Guards against a delayed copy that runs after its caller was told "not run". */
    @Test
    void refusedTicketIsVoidForGood() throws RefusedException {
        String ticket = issue(0);
        begin(ticket, 0);
        table.refused(ticket, OVERLOADED, 1);
        assertEquals(ResultCode.TICKET_VOID, code(begin(ticket, 2)));
        assertThrows(IllegalStateException.class, () -> table.answered(ticket, answer(1), 3));
    }

    /** Guards against "not run" for a request that may have run. */
    @Test
    void endOfARunCannotBeReportedAsNotRun() throws RefusedException {
        String ticket = issue(0);
        begin(ticket, 0);
        assertThrows(IllegalArgumentException.class, () -> table.unknown(ticket, OVERLOADED, 1));
        assertThrows(IllegalArgumentException.class, () -> table.refused(ticket, CUT, 1));
        table.unknown(ticket, CUT, 2);
        assertThrows(IllegalStateException.class, () -> table.refused(ticket, OVERLOADED, 3));
        assertEquals(ResultCode.ANSWER_CUT, code(begin(ticket, 4)));
    }

    /** Guards against discarding a late answer that a repeated request could receive. */
    @Test
    void lateAnswerReplacesUnknownOutcome() throws RefusedException {
        String ticket = issue(0);
        begin(ticket, 0);
        table.unknown(ticket, CUT, 1);
        table.answered(ticket, answer(1), 2);
        assertEquals(Decision.REPLAY, begin(ticket, 3).decision());
        begin(ticket, 302 * SECOND);
        table.answered(ticket, answer(1), 302 * SECOND);
        assertEquals(0, table.storedBytes());
    }

    /** Guards against the use of a ticket for a request that it was not issued for. */
    @Test
    void ticketOfAnotherKindIsMalformed() throws RefusedException {
        String ticket = issue(0);
        assertEquals(ResultCode.MALFORMED_REQUEST, code(table.begin(ticket, "scheduler", "cancel", 1)));
        assertEquals(ResultCode.MALFORMED_REQUEST, code(table.begin(ticket, "playlist", "push", 1)));
        assertEquals(Decision.START, begin(ticket, 2).decision());
    }

    /** Guards against "not run" from a process that did not issue the ticket. */
    @Test
    void foreignAndGarbledTicketsAreUnknown() throws RefusedException {
        TicketTable restarted = table(8, 100);
        for (String ticket : List.of(issue(0), "", "a.b.c", "vm.1.0000000000000007." + "0".repeat(32))) {
            TicketUse use = restarted.begin(ticket, "scheduler", "push", 1);
            assertEquals(ResultCode.TICKET_EXPIRED_OR_FOREIGN, code(use), ticket);
        }
        String otherProcess = issue(0).replace(".0000000000000007.", ".0000000000000009.");
        assertEquals(ResultCode.TICKET_EXPIRED_OR_FOREIGN, code(begin(otherProcess, 1)));
    }

    /** Guards against a ticket that is used too late, and against an entry that is removed too early or never. */
    @Test
    void unusedTicketBecomesVoidAndIsThenRemoved() throws RefusedException {
        String ticket = issue(0);
        assertEquals(ResultCode.TICKET_VOID, code(begin(ticket, 31 * SECOND)));
        assertEquals(ResultCode.TICKET_VOID, code(begin(ticket, 331 * SECOND)));
        assertEquals(ResultCode.TICKET_EXPIRED_OR_FOREIGN, code(begin(ticket, 332 * SECOND)));
        assertEquals(0, table.size());
    }

    /** Guards against the use of expired entries that are not removed yet, because each call removes only some. */
    @Test
    void expiryHoldsForEntriesNotYetRemoved() throws RefusedException {
        String last = "";
        for (int i = 0; i < 100; i++) {
            last = issue(0);
        }
        assertEquals(ResultCode.TICKET_VOID, code(begin(last, 31 * SECOND)));
        for (int i = 0; i < 10; i++) {
            begin("", 31 * SECOND);
        }
        assertEquals(ResultCode.TICKET_EXPIRED_OR_FOREIGN, code(begin(last, 332 * SECOND)));
        assertEquals(100 - 16, table.size());
    }

    /** Guards against the removal of the entry of a running request, whose repeat would then be refused as foreign. */
    @Test
    void runningEntryNeverExpires() throws RefusedException {
        String ticket = issue(0);
        begin(ticket, 0);
        assertEquals(Decision.JOIN, begin(ticket, 10_000 * SECOND).decision());
        table.answered(ticket, answer(1), 10_001 * SECOND);
        assertEquals(Decision.REPLAY, begin(ticket, 10_002 * SECOND).decision());
    }

    /** Guards against eviction before expiry when the table is full, and against a table that stays full. */
    @Test
    void fullTableIssuesAgainOnlyAfterExpiry() throws RefusedException {
        for (int i = 0; i < 100; i++) {
            issue(0);
        }
        RefusedException full = assertThrows(RefusedException.class, () -> issue(10 * SECOND));
        assertEquals(ResultCode.TICKET_TABLE_FULL, full.refusal().code());
        assertEquals(320_000, full.refusal().retryAfterMilliseconds());
        full = assertThrows(RefusedException.class, () -> issue(330 * SECOND));
        assertEquals(300_000, full.refusal().retryAfterMilliseconds());
        for (int i = 0; i < 10; i++) {
            begin("", 331 * SECOND);
        }
        issue(632 * SECOND);
        assertEquals(100 - 16 + 1, table.size());
    }

    /** Guards against unbounded memory, and against "not run" for an answer that was dropped. */
    @Test
    void oldestAnswersAreEvictedButNotTheirEntries() throws RefusedException {
        String first = issue(0);
        begin(first, 0);
        table.answered(first, answer((int) TicketTable.STORED_BYTES_LIMIT - 4), 0);
        assertEquals(TicketTable.STORED_BYTES_LIMIT, table.storedBytes());
        String second = issue(1);
        begin(second, 1);
        table.answered(second, answer(10), 1);
        assertEquals(14, table.storedBytes());
        assertEquals(ResultCode.ANSWER_NOT_KEPT, code(begin(first, 2)));
        assertEquals(Decision.REPLAY, begin(second, 2).decision());
        begin("", 302 * SECOND);
        assertEquals(0, table.storedBytes());
    }

    /** Guards against new tickets of a node that is leaving, and against the loss of those issued before. */
    @Test
    void drainStopsIssuingOnly() throws RefusedException {
        String ticket = issue(0);
        table.stopIssuing();
        RefusedException refused = assertThrows(RefusedException.class, () -> issue(1));
        assertEquals(ResultCode.DRAINING, refused.refusal().code());
        assertEquals(Decision.START, begin(ticket, 1).decision());
    }
}
