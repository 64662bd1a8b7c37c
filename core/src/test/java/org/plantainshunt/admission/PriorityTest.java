package org.plantainshunt.admission;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.plantainshunt.configuration.PriorityClass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PriorityTest {
    /** Guards against a change of the values that nodes exchange. */
    @Test
    void valueIsClassTimesCohortsPlusCohort() {
        Priority priority = Priority.of(PriorityClass.STANDARD, 7);
        assertEquals(2 * 128 + 7, priority.value());
        assertEquals(priority, Priority.ofValue(263));
        assertEquals(PriorityClass.STANDARD, priority.priorityClass());
        assertEquals(7, priority.cohort());
        assertThrows(IllegalArgumentException.class, () -> Priority.of(PriorityClass.CRITICAL, 128));
        assertThrows(IllegalArgumentException.class, () -> Priority.ofValue(512));
    }

    /** Guards against an uneven distribution over the cohorts, which would make the admission level coarse. */
    @Test
    void cohortsAreEven() {
        int[] counts = new int[Priority.COHORTS];
        IntStream.range(0, 12_800).forEach(i -> counts[Priority.cohortOf("request-" + i)]++);
        assertTrue(IntStream.of(counts).allMatch(count -> count > 50 && count < 150));
    }
}
