package org.plantainshunt.routing;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.plantainshunt.configuration.AllowedCall;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.retry.DeclaredCalls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the limits at the entry node: link budget, downstream levels and connection rate. */
class EntryLimitsTest {
    private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final Kind DEEP = kind("deep", List.of());
    private static final Kind MIDDLE = kind("middle", List.of(new AllowedCall("deep", "k", 2)));
    private static final Kind TOP =
            kind("top", List.of(new AllowedCall("middle", "k", 3), new AllowedCall("deep", "k", 1)));
    private static final Map<String, Kind> KINDS = Map.of("deep", DEEP, "middle", MIDDLE, "top", TOP);

    private final DownstreamLevels levels = new DownstreamLevels(EntryLimitsTest::find);

    /** Lower classes must leave half of the burst to the important ones, and the link's rate must hold over time. */
    @Test
    void lowerClassesCannotStarveImportantOnesOnTheLink() {
        LinkBudget budget = new LinkBudget(8_000_000, 10);
        long standard = 0;
        long critical = 0;
        for (long now = 0; now < 20 * SECOND; now += MILLISECOND) {
            standard += budget.tryTake(PriorityClass.STANDARD, 1_000, now) ? 1_000 : 0;
            if (now >= 10 * SECOND) {
                assertTrue(budget.tryTake(PriorityClass.CRITICAL, 50, now), "refused at " + now);
                critical += 50;
            }
        }
        assertTrue(standard + critical <= 20 * 100_000 + 200_000, "bytes " + (standard + critical));
        assertTrue(standard >= 20 * 50_000, "standard bytes " + standard);
    }

    /** A large call of a lower class must pass when the link is idle, at no cost to the important ones. */
    @Test
    void largeLowerCallIsPaidByLowerClassesOnly() {
        LinkBudget budget = new LinkBudget(8_000_000, 10);
        assertTrue(budget.tryTake(PriorityClass.SHEDDABLE, 1_000_000, 0));
        assertTrue(budget.tryTake(PriorityClass.IMPORTANT, 90_000, 0));
        assertFalse(budget.tryTake(PriorityClass.SHEDDABLE, 1, 5 * SECOND));
        assertTrue(budget.tryTake(PriorityClass.SHEDDABLE, 1, 15 * SECOND));
    }

    /** Work that a deep service sheds must be refused at the entry, and more important work must not be. */
    @Test
    void refusesWhatServiceDeeperInTheChainSheds() {
        levels.report("vm-1", "deep", 200, 0);
        levels.report("vm-2", "deep", 100, 0);
        assertEquals(
                ResultCode.OVERLOADED_DOWNSTREAM,
                levels.check(TOP, 200, 0).orElseThrow().code());
        assertTrue(levels.check(TOP, 199, 0).isEmpty());
        assertTrue(levels.check(kind("other", List.of()), 511, 0).isEmpty());
        assertEquals(Map.of("deep", 200), levels.levels(0));
        levels.removeReports("vm-1");
        assertTrue(levels.check(TOP, 199, 0).isPresent());
    }

    /** Guards against a first hop that admits what nearly all servers of a large fleet would refuse. */
    @Test
    @Tag("known-red")
    void oneServerThatAdmitsAllDoesNotHideThatTheOthersShed() {
        IntStream.range(0, 7).forEach(vm -> levels.report("vm-" + vm, "deep", 256, 0));
        levels.report("vm-7", "deep", DownstreamLevels.ADMITS_ALL, 0);
        assertTrue(levels.check(TOP, 300, 0).isPresent());
        assertTrue(levels.check(TOP, 255, 0).isEmpty());
    }

    /** An old level must expire, or work stays refused after the overload; nor may it override a fresh one. */
    @Test
    void oldLevelsRiseAndDoNotOverrideFreshOnes() {
        levels.report("vm-1", "deep", 100, 0);
        assertTrue(levels.check(DEEP, 100, SECOND).isPresent());
        assertTrue(levels.check(DEEP, 227, 1_500 * MILLISECOND).isEmpty());
        assertTrue(levels.check(DEEP, 228, 1_500 * MILLISECOND).isPresent());
        levels.report("vm-2", "deep", 50, 4 * SECOND);
        assertEquals(Map.of("deep", 50), levels.levels(4 * SECOND));
        assertEquals(Map.of(), levels.levels(8 * SECOND));
    }

    /** Without probes, a level that refuses all calls is never corrected. */
    @Test
    void oneCallInFiftyPassesAsProbe() {
        levels.report("vm-1", "deep", 0, 0);
        long passed = IntStream.range(0, 1_000)
                .filter(call -> levels.check(DEEP, 0, 0).isEmpty())
                .count();
        assertEquals(20, passed);
    }

    @Test
    void countsDeclaredCallsOfTheWholeTree() {
        assertEquals(3 * (1 + 2) + 1, new DeclaredCalls(EntryLimitsTest::find).countBelow(TOP));
    }

    /** A healed partition must not cause a connection storm. */
    @Test
    void opensAtMostFiftyConnectionsPerSecond() {
        ConnectionPacing pacing = new ConnectionPacing();
        long opened = IntStream.range(0, 10_000)
                .filter(millisecond -> pacing.tryOpen(millisecond * MILLISECOND))
                .count();
        assertTrue(opened >= 500 && opened <= 550, "opened " + opened);
    }

    private static Optional<Kind> find(String service, String kind) {
        return Optional.ofNullable(KINDS.get(service));
    }

    private static Kind kind(String service, List<AllowedCall> calls) {
        return new Kind(service, "k", PriorityClass.STANDARD, false, Duration.ofSeconds(1), calls);
    }
}
