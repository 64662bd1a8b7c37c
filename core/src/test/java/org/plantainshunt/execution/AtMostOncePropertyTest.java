package org.plantainshunt.execution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.plantainshunt.configuration.Policy;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.RefusedException;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Random schedules against the backend server fake's own record of what it ran.
 *
 * <p>Guards against a second run of a ticket, and against a run before or after its caller was told "not run".
 */
class AtMostOncePropertyTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int CAPACITY = 6;
    private static final Refusal OVERLOADED = Refusal.of(ResultCode.OVERLOADED, "full");
    private static final Refusal CUT = Refusal.of(ResultCode.OUTCOME_UNKNOWN, "connection closed");

    /** What may happen next; USE stands for any copy, from any entry node, however late. */
    enum Action {
        ISSUE,
        USE,
        USE_FOR_OTHER_KIND,
        REFUSE,
        HAND_OVER,
        ANSWER,
        LOSE_ANSWER,
        ANSWER_LATE,
        RESTART,
        STOP_ISSUING
    }

    /** An action on one of the tickets, after a pause in seconds; long pauses stand for a frozen process. */
    record Step(Action action, int ticket, int pause) {}

    @Provide
    Arbitrary<List<Step>> schedules() {
        Arbitrary<Action> action = Arbitraries.frequencyOf(
                Tuple.of(18, Arbitraries.just(Action.ISSUE)),
                Tuple.of(30, Arbitraries.just(Action.USE)),
                Tuple.of(2, Arbitraries.just(Action.RESTART)),
                Tuple.of(1, Arbitraries.just(Action.STOP_ISSUING)),
                Tuple.of(49, Arbitraries.of(Action.values())));
        Arbitrary<Integer> pause =
                Arbitraries.frequency(Tuple.of(20, 0), Tuple.of(4, 7), Tuple.of(2, 31), Tuple.of(1, 200));
        return Combinators.combine(action, Arbitraries.integers().between(0, 7), pause)
                .as(Step::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(150);
    }

    @Property(tries = 3000)
    void ticketRunsAtMostOnceAndNotRunIsTrue(@ForAll("schedules") List<Step> schedule) {
        World world = new World();
        for (Step step : schedule) {
            world.take(step);
        }
    }

    /** One serving process at a time, the backend server beside it, and what the callers were told. */
    private static final class World {
        private final Map<String, Integer> runs = new HashMap<>();
        private final Set<String> toldNotRun = new HashSet<>();
        private final List<String> issued = new ArrayList<>();
        private final List<String> started = new ArrayList<>();
        private final List<String> handedOver = new ArrayList<>();
        private final List<String> lost = new ArrayList<>();
        private TicketTable table;
        private long incarnation;
        private long now;

        World() {
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

        private void take(Step step) {
            now += step.pause() * SECOND;
            switch (step.action()) {
                case ISSUE -> issue();
                case USE -> use(pick(issued, step), "push");
                case USE_FOR_OTHER_KIND -> use(pick(issued, step), "retire");
                case REFUSE -> refuse(pick(started, step));
                case HAND_OVER -> handOver(pick(started, step));
                case ANSWER -> answer(pick(handedOver, step), handedOver);
                case LOSE_ANSWER -> loseAnswer(pick(handedOver, step));
                case ANSWER_LATE -> answer(pick(lost, step), lost);
                case RESTART -> restart();
                default -> table.stopIssuing();
            }
            assertTrue(table.size() <= CAPACITY);
        }

        /** Returns one of the newest tickets, or null. */
        private static String pick(List<String> from, Step step) {
            return step.ticket() < from.size() ? from.get(from.size() - 1 - step.ticket()) : null;
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

        private void use(String ticket, String kind) {
            if (ticket == null) {
                return;
            }
            TicketUse use = table.begin(ticket, "scheduler", kind, now);
            switch (use.decision()) {
                case START -> started.add(ticket);
                case JOIN -> assertTrue(started.contains(ticket) || handedOver.contains(ticket));
                case REPLAY -> assertEquals(1, runs.get(ticket));
                default -> tell(ticket, kind, use.refusal().orElseThrow());
            }
        }

        private void tell(String ticket, String kind, Refusal refusal) {
            RunState state = refusal.code().runState();
            if (state == RunState.NOT_RUN && kind.equals("push")) {
                toldNotRun.add(ticket);
                assertEquals(0, runs.getOrDefault(ticket, 0), "ran, but told " + refusal);
            } else if (state == RunState.RUN) {
                assertEquals(1, runs.get(ticket), "did not run, but told " + refusal);
            }
        }

        private void refuse(String ticket) {
            if (ticket != null) {
                started.remove(ticket);
                table.refused(ticket, OVERLOADED, now);
                tell(ticket, "push", OVERLOADED);
            }
        }

        private void handOver(String ticket) {
            if (ticket != null) {
                started.remove(ticket);
                handedOver.add(ticket);
                assertEquals(1, runs.merge(ticket, 1, Integer::sum), "second run of " + ticket);
                assertFalse(toldNotRun.contains(ticket), "runs after \"not run\": " + ticket);
            }
        }

        private void answer(String ticket, List<String> from) {
            if (ticket != null) {
                from.remove(ticket);
                table.answered(ticket, TicketTableTest.answer(3), now);
            }
        }

        private void loseAnswer(String ticket) {
            if (ticket != null) {
                handedOver.remove(ticket);
                lost.add(ticket);
                table.unknown(ticket, CUT, now);
            }
        }
    }
}
