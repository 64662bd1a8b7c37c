package org.plantainshunt.admission;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;

import org.junit.jupiter.api.Test;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.PriorityClass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FailureSheddingTest {
    private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

    private final Kind browse = kind("browse", PriorityClass.STANDARD);
    private final Kind upload = kind("upload", PriorityClass.CRITICAL);
    private final Kind push = kind("push", PriorityClass.STANDARD);
    private final FailureShedding shedding = new FailureShedding(new Random(1));
    private long now;

    /** Guards against work for requests that are likely to fail later. */
    @Test
    void kindThatFailsOftenIsRefusedInPart() {
        run(3_000, number -> number % 2 == 0, browse);
        assertTrue(shedding.refusedShare(browse) > 0.3, "refused " + shedding.refusedShare(browse));
    }

    /** Guards against refusals of important work while refusing less important failing work would free capacity. */
    @Test
    void leastImportantFailingClassIsRefusedFirst() {
        run(1_500, number -> number % 2 == 0, browse, upload);
        assertTrue(shedding.refusedShare(browse) > 0.2, "browse refused " + shedding.refusedShare(browse));
        assertEquals(0, shedding.refusedShare(upload));
    }

    /** Guards against refusals of work that does not depend on the overloaded service. */
    @Test
    void kindThatSucceedsIsNeverRefused() {
        run(3_000, number -> number % 3 == 0, browse);
        run(3_000, number -> false, push);
        assertEquals(0, shedding.refusedShare(push));
    }

    /** Guards against refusals because of one faulty server while other servers can take its requests. */
    @Test
    void fewFailuresAreTolerated() {
        run(5_000, number -> number % 8 == 0, browse);
        assertEquals(0, shedding.refusedShare(browse));
    }

    /** Guards against refusals that continue for failures with another cause than overload. */
    @Test
    void refusalsEndWhileAQuarterFailsAsBefore() {
        run(5_000, number -> true, browse);
        run(40_000, number -> number % 4 == 0, browse);
        assertTrue(shedding.refusedShare(browse) < 0.05, "refused " + shedding.refusedShare(browse));
    }

    /** Guards against refusals that continue for seconds after the service has recovered. */
    @Test
    void refusalsEndSoonAfterTheFailuresHaveEnded() {
        run(5_000, number -> true, browse);
        run(5_000, number -> false, browse);
        assertEquals(0, shedding.refusedShare(browse));
    }

    @Test
    void refusalsEndAfterTheFailuresHaveEnded() {
        run(5_000, number -> true, browse);
        run(15_000, number -> false, browse);
        assertEquals(0, shedding.refusedShare(browse));
    }

    /** Sends a request of each kind every 10 ms. */
    private void run(int milliseconds, IntPredicate fails, Kind... kinds) {
        for (int number = 0; number < milliseconds / 10; number++) {
            now += 10 * MILLISECOND;
            for (Kind kind : kinds) {
                if (!shedding.refuses(kind, now)) {
                    shedding.ended(kind, fails.test(number), true, now);
                }
            }
        }
    }

    private static Kind kind(String name, PriorityClass priorityClass) {
        return new Kind("s", name, priorityClass, false, Duration.ofSeconds(1), List.of());
    }
}
