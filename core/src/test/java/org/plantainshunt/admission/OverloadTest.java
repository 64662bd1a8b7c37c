package org.plantainshunt.admission;

import java.time.Duration;
import java.util.IntSummaryStatistics;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainshunt.admission.AdmissionModel.Sample;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.configuration.Service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Simulates overloads with entry nodes that follow the admission level. */
class OverloadTest {
    private static final int SLOTS = 130;
    private static final double SERVICE_TIME = 20 * AdmissionModel.MILLISECOND;
    /** The bound of the brief for goodput at twice the capacity. */
    private static final double MIN_GOODPUT = 0.9;

    private static final double NEARLY_FULL = 0.95;
    private static final double NOISE_SHARE = 0.15;
    private static final double NOISE_FACTOR = 2.5;
    private static final long SEED = 20_261_206L;
    private static final double CAPACITY = SLOTS * AdmissionModel.SECOND / SERVICE_TIME;

    private static AdmissionModel run(long seed, double load) {
        return new AdmissionModel(
                seed, AdmissionModel.service(SLOTS, 260), t -> load * CAPACITY, (t, running) -> SERVICE_TIME, 0, 13);
    }

    /** Guards against a level that leaves slots idle, and against one that oscillates. */
    @Property(tries = 5, shrinking = ShrinkingMode.OFF)
    void goodputHoldsAndLevelIsSteadyAtFiveTimesTheCapacity(@ForAll long seed) {
        AdmissionModel model = run(seed, 5);
        assertTrue(model.answeredPerSecond() > 0.95 * CAPACITY, "answers a second: " + model.answeredPerSecond());
        IntSummaryStatistics levels = model.samples.subList(30, model.samples.size()).stream()
                .mapToInt(Sample::level)
                .summaryStatistics();
        assertTrue(levels.getMin() > 51 && levels.getMax() < 205, levels.toString());
    }

    /** Guards against a level that refuses important work that fits the capacity. */
    @Property(tries = 5, shrinking = ShrinkingMode.OFF)
    void importantWorkThatFitsCompletes(@ForAll long seed) {
        AdmissionModel model = run(seed, 1.8);
        assertTrue(
                model.answeredShare(PriorityClass.CRITICAL) > 0.99,
                "critical: " + model.answeredShare(PriorityClass.CRITICAL));
        assertTrue(
                model.answeredShare(PriorityClass.IMPORTANT) > 0.99,
                "important: " + model.answeredShare(PriorityClass.IMPORTANT));
        assertTrue(
                model.answeredShare(PriorityClass.SHEDDABLE) < 0.1,
                "sheddable: " + model.answeredShare(PriorityClass.SHEDDABLE));
    }

    /**
     * Guards against treating random delays over the target as overload, while critical and important work needs 80 %
     * of a small service.
     */
    @Property(tries = 5, shrinking = ShrinkingMode.OFF)
    void importantWorkThatFitsASmallServiceCompletes(@ForAll long seed) {
        AdmissionModel model = new AdmissionModel(
                seed,
                AdmissionModel.service(12, 260),
                t -> 1.6 * 240,
                (t, running) -> 50 * AdmissionModel.MILLISECOND,
                0,
                43);
        assertTrue(
                model.answeredShare(PriorityClass.IMPORTANT) > 0.995,
                "important: " + model.answeredShare(PriorityClass.IMPORTANT));
    }

    /** Guards against overload that outlasts its trigger: a fifth of the speed and twice the demand for 10 s. */
    @Property(tries = 5, shrinking = ShrinkingMode.OFF)
    void levelAndQueueRecoverWithinTwoSeconds(@ForAll long seed) {
        AdmissionModel model = new AdmissionModel(
                seed,
                AdmissionModel.service(SLOTS, 260),
                t -> (duringOverload(t) ? 1.6 : 0.8) * CAPACITY,
                (t, running) -> (duringOverload(t) ? 5 : 1) * SERVICE_TIME,
                0,
                20);
        List<Sample> after = model.samples.subList(170, 200);
        for (Sample sample : after) {
            assertEquals(AdmissionLevel.ADMITS_ALL, sample.level());
            assertTrue(sample.waiting() < SLOTS, sample.toString());
        }
        double answered = after.stream().mapToInt(Sample::answered).average().orElseThrow() * 10;
        assertTrue(answered > 0.95 * 0.8 * CAPACITY, "answers a second: " + answered);
    }

    /** Guards against capacity lost by a server that is slower when nearly full, as those on the users' platform. */
    @ParameterizedTest
    @ValueSource(ints = {14, 28, 134})
    void serverThatIsSlowerWhenNearlyFullKeepsItsThroughput(int slots) {
        double best = (int) (NEARLY_FULL * slots) * AdmissionModel.SECOND / SERVICE_TIME;
        AdmissionModel model = new AdmissionModel(
                SEED,
                AdmissionModel.service(slots, 260),
                t -> 2 * best,
                (t, running) -> (running > NEARLY_FULL * slots ? 1.3 : 1) * SERVICE_TIME,
                0,
                13);
        assertTrue(
                model.answeredPerSecond() > MIN_GOODPUT * best,
                "answers a second: " + model.answeredPerSecond() + " of " + best);
    }

    /** Guards against slots left free because a noisy neighbour slowed calls down while some limit was tried. */
    @ParameterizedTest
    @ValueSource(ints = {14, 28, 134})
    void noisyNeighbourDoesNotTakeSlotsAway(int slots) {
        double best = slots * AdmissionModel.SECOND / SERVICE_TIME * (1 - NOISE_SHARE + NOISE_SHARE / NOISE_FACTOR);
        AdmissionModel model = new AdmissionModel(
                SEED,
                AdmissionModel.service(slots, 260),
                t -> 2 * best,
                (t, running) -> (isNoisy(t) ? NOISE_FACTOR : 1) * SERVICE_TIME,
                0,
                43);
        assertTrue(
                model.answeredPerSecond() > MIN_GOODPUT * best,
                "answers a second: " + model.answeredPerSecond() + " of " + best);
    }

    /** Returns whether the neighbour is noisy at a time, which lasts for 600 ms and is random. */
    private static boolean isNoisy(long time) {
        return new Random(time / (600 * AdmissionModel.MILLISECOND) * 7_919 + SEED).nextDouble() < NOISE_SHARE;
    }

    private static boolean duringOverload(long time) {
        return time > 5 * AdmissionModel.SECOND && time < 15 * AdmissionModel.SECOND;
    }

    /** Guards against short work that waits behind stragglers, 2 % of calls with 100 times the cost. */
    @Property(tries = 3, shrinking = ShrinkingMode.OFF)
    void stragglersDoNotHoldUpShortWork(@ForAll long seed) {
        double without = runWithStragglers(seed, 0).p99();
        double with = runWithStragglers(seed, 0.02).p99();
        assertTrue(with < 1.5 * without, with + " ms with stragglers, " + without + " ms without");
    }

    private static AdmissionModel runWithStragglers(long seed, double share) {
        Service service = new Service("recorder", SLOTS, 900, 260, Duration.ofMillis(20), 0.2, 10);
        return new AdmissionModel(seed, service, t -> 0.6 * CAPACITY, (t, running) -> SERVICE_TIME, share, 13);
    }
}
