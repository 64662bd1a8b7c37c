package org.plantainshunt.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class VirtualClockTest {
    /** Guards against a run that depends on the heap's order of events with equal times. */
    @Test
    void runsEventsOfEqualTimeInInsertionOrder() {
        VirtualClock clock = new VirtualClock();
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            int number = i;
            clock.schedule(5, () -> order.add(number));
        }
        clock.schedule(4, () -> order.add(-1));
        clock.runUntil(5);
        List<Integer> expected = new ArrayList<>(List.of(-1));
        for (int i = 0; i < 100; i++) {
            expected.add(i);
        }
        assertEquals(expected, order);
    }

    /** Guards against events that are lost or run early because near and far events are stored separately. */
    @Test
    void runsNearAndFarEventsInTimeOrder() {
        VirtualClock clock = new VirtualClock();
        SplittableRandom random = new SplittableRandom(1);
        List<Long> times = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            clock.schedule(random.nextLong(40 * VirtualClock.SECOND), () -> {
                times.add(clock.now());
                clock.schedule(random.nextLong(40 * VirtualClock.SECOND), () -> times.add(clock.now()));
            });
        }
        clock.runUntil(80 * VirtualClock.SECOND);
        assertEquals(2_000, times.size());
        assertEquals(times.stream().sorted().toList(), times);
    }

    /** Guards against running events after the end, which would count work that no caller waits for any more. */
    @Test
    void doesNotRunEventsAfterTheEnd() {
        VirtualClock clock = new VirtualClock();
        List<Long> times = new ArrayList<>();
        clock.scheduleEvery(10, () -> times.add(clock.now()));
        clock.runUntil(25);
        assertEquals(List.of(0L, 10L, 20L), times);
        assertEquals(25, clock.now());
    }
}
