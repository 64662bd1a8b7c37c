package org.plantainshunt.execution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.plantainshunt.configuration.Policy;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.RefusedException;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Compares the ticket table under random schedules with the runs that a fake backend server recorded.
 *
 * <p>Guards against a second run of a ticket, and against a run before or after its caller was told "not run".
 */
class AtMostOncePropertyTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int CAPACITY = 6;
    private static final Refusal OVERLOADED = Refusal.of(ResultCode.OVERLOADED, "full");
    private static final Refusal CUT = Refusal.of(ResultCode.OUTCOME_UNKNOWN, "connection closed");

    /** The pauses between two actions, in seconds; the longest simulates a suspended process. */
    private static final int[] PAUSES = {0, 0, 0, 0, 0, 0, 0, 0, 0, 7, 7, 31, 200};

    @Property(tries = 3000)
    void ticketRunsAtMostOnceAndNotRunIsTrue(
            @ForAll @Size(min = 20, max = 150) List<@IntRange(max = 999_999) Integer> schedule) {
        Model model = new Model();
        schedule.forEach(model::perform);
    }

    /** One serving process at a time, its backend server, and the run states reported to the callers. */
    private static final class Model {
        private final Map<String, Integer> runs = new HashMap<>();
        private final Set<String> reportedNotRun = new HashSet<>();
        private final List<String> issued = new ArrayList<>();
        private final List<String> started = new ArrayList<>();
        private final List<String> handedOver = new ArrayList<>();
        private final List<String> lost = new ArrayList<>();
        private TicketTable table;
        private long incarnation;
        private long now;

        Model() {
            restart();
        }

        private void restart() {
            incarnation++;
            Policy policy = new Policy(3, 0.1, Duration.ofSeconds(30), Duration.ofSeconds(60), 1 << 20, 1 << 20);
            table = new TicketTable("vm-1", incarnation, CAPACITY, policy, new Random(incarnation));
            started.clear();
            handedOver.clear();
            lost.clear();
        }

        /** Performs the action that the number encodes, if there is a ticket to which it applies. */
        private void perform(int choice) {
            now += PAUSES[choice / 1000 % PAUSES.length] * SECOND;
            int age = choice / 100 % 10;
            switch (choice % 30) {
                case 0, 1, 2, 3, 4, 5 -> issue();
                case 6, 7 -> pick(started, age).ifPresent(this::refuse);
                case 8, 9, 10, 11 -> pick(started, age).ifPresent(this::handOver);
                case 12, 13, 14 -> pick(handedOver, age).ifPresent(ticket -> answer(ticket, handedOver));
                case 15, 16, 17 -> pick(handedOver, age).ifPresent(this::loseAnswer);
                case 18 -> pick(lost, age).ifPresent(ticket -> answer(ticket, lost));
                case 19 -> restart();
                default -> pick(issued, age).ifPresent(this::use);
            }
            assertTrue(table.size() <= CAPACITY);
        }

        /** Returns one of the newest tickets. */
        private static Optional<String> pick(List<String> from, int age) {
            return age < from.size() ? Optional.of(from.get(from.size() - 1 - age)) : Optional.empty();
        }

        private void issue() {
            try {
                String ticket = table.issue("scheduler", "push", now).text();
                assertFalse(issued.contains(ticket), "issued twice: " + ticket);
                issued.add(ticket);
            } catch (RefusedException refused) {
                assertEquals(RunState.NOT_RUN, refused.refusal().code().runState());
            }
        }

        /** Delivers a copy of the request, from any entry node, however late. */
        private void use(String ticket) {
            TicketUse use = table.begin(ticket, "scheduler", "push", now);
            switch (use.decision()) {
                case START -> started.add(ticket);
                case JOIN -> assertTrue(started.contains(ticket) || handedOver.contains(ticket));
                case REPLAY -> assertEquals(1, runs.get(ticket));
                default -> reportToCaller(ticket, use.refusal().orElseThrow());
            }
        }

        private void reportToCaller(String ticket, Refusal refusal) {
            RunState state = refusal.code().runState();
            if (state == RunState.NOT_RUN) {
                reportedNotRun.add(ticket);
                assertEquals(0, runs.getOrDefault(ticket, 0), "ran, but told " + refusal);
            } else if (state == RunState.RUN) {
                assertEquals(1, runs.get(ticket), "did not run, but told " + refusal);
            }
        }

        private void refuse(String ticket) {
            started.remove(ticket);
            table.refused(ticket, OVERLOADED, now);
            reportToCaller(ticket, OVERLOADED);
        }

        private void handOver(String ticket) {
            started.remove(ticket);
            handedOver.add(ticket);
            assertEquals(1, runs.merge(ticket, 1, Integer::sum), "second run of " + ticket);
            assertFalse(reportedNotRun.contains(ticket), "runs after \"not run\": " + ticket);
        }

        private void answer(String ticket, List<String> from) {
            from.remove(ticket);
            table.answered(ticket, TicketTableTest.answer(3), now);
        }

        private void loseAnswer(String ticket) {
            handedOver.remove(ticket);
            lost.add(ticket);
            table.unknown(ticket, CUT, now);
        }
    }
}
