package org.plantainshunt.admission;

import java.time.Duration;
import java.util.IntSummaryStatistics;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.plantainshunt.admission.SlotServer.Sample;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.configuration.Service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Simulates overloads with entry nodes that follow the admission level. */
class OverloadTest {
    private static final int SLOTS = 130;
    private static final double SERVICE_TIME = 20 * SlotServer.MILLISECOND;
    private static final double CAPACITY = SLOTS * SlotServer.SECOND / SERVICE_TIME;

    private static SlotServer run(long seed, double load) {
        return new SlotServer(seed, SlotServer.service(SLOTS, 260), t -> load * CAPACITY, t -> SERVICE_TIME, 0, 13);
    }

    /** Guards against a level that leaves slots idle, and against one that oscillates for unimportant work. */
    @Property(tries = 5, shrinking = ShrinkingMode.OFF)
    void goodputHoldsAndLevelIsSteadyAtFiveTimesTheCapacity(@ForAll long seed) {
        SlotServer server = run(seed, 5);
        assertTrue(server.answeredPerSecond() > 0.95 * CAPACITY, "answers a second: " + server.answeredPerSecond());
        IntSummaryStatistics levels = server.samples.subList(30, server.samples.size()).stream()
                .mapToInt(Sample::level)
                .summaryStatistics();
        assertTrue(levels.getMin() > 51 && levels.getMax() < 205, levels.toString());
    }

    /** Guards against a level that refuses important work that fits the capacity. */
    @Property(tries = 5, shrinking = ShrinkingMode.OFF)
    void importantWorkThatFitsCompletes(@ForAll long seed) {
        SlotServer server = run(seed, 1.8);
        assertTrue(server.share(PriorityClass.CRITICAL) > 0.99, "critical: " + server.share(PriorityClass.CRITICAL));
        assertTrue(server.share(PriorityClass.IMPORTANT) > 0.99, "important: " + server.share(PriorityClass.IMPORTANT));
        assertTrue(server.share(PriorityClass.SHEDDABLE) < 0.1, "sheddable: " + server.share(PriorityClass.SHEDDABLE));
    }

    /** Guards against treating random delays over the target, at 80 % load of a small service, as overload. */
    @Property(tries = 5, shrinking = ShrinkingMode.OFF)
    void importantWorkThatFitsASmallServiceCompletes(@ForAll long seed) {
        SlotServer server = new SlotServer(
                seed, SlotServer.service(12, 260), t -> 1.6 * 240, t -> 50 * SlotServer.MILLISECOND, 0, 43);
        assertTrue(
                server.share(PriorityClass.IMPORTANT) > 0.995, "important: " + server.share(PriorityClass.IMPORTANT));
    }

    /** Guards against overload that outlasts its trigger: a fifth of the speed and twice the demand for 10 s. */
    @Property(tries = 5, shrinking = ShrinkingMode.OFF)
    void levelAndQueueRecoverWithinTwoSeconds(@ForAll long seed) {
        SlotServer server = new SlotServer(
                seed,
                SlotServer.service(SLOTS, 260),
                t -> (during(t) ? 1.6 : 0.8) * CAPACITY,
                t -> (during(t) ? 5 : 1) * SERVICE_TIME,
                0,
                20);
        List<Sample> after = server.samples.subList(170, 200);
        for (Sample sample : after) {
            assertEquals(AdmissionLevel.ADMITS_ALL, sample.level());
            assertTrue(sample.waiting() < SLOTS, sample.toString());
        }
        double answered = after.stream().mapToInt(Sample::answered).average().orElseThrow() * 10;
        assertTrue(answered > 0.95 * 0.8 * CAPACITY, "answers a second: " + answered);
    }

    private static boolean during(long time) {
        return time > 5 * SlotServer.SECOND && time < 15 * SlotServer.SECOND;
    }

    /** Guards against short work that waits behind stragglers, 2 % of calls with 100 times the cost. */
    @Property(tries = 3, shrinking = ShrinkingMode.OFF)
    void stragglersDoNotHoldUpShortWork(@ForAll long seed) {
        double without = runWithStragglers(seed, 0).p99();
        double with = runWithStragglers(seed, 0.02).p99();
        assertTrue(with < 1.5 * without, with + " ms with stragglers, " + without + " ms without");
    }

    private static SlotServer runWithStragglers(long seed, double share) {
        Service service = new Service("recorder", SLOTS, 900, 260, Duration.ofMillis(20), 0.2, 10);
        return new SlotServer(seed, service, t -> 0.6 * CAPACITY, t -> SERVICE_TIME, share, 13);
    }
}
