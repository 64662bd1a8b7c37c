package org.plantainshunt.admission;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

import org.plantainshunt.configuration.PriorityClass;

/**
 * The priority of a call: its class, and within the class the cohort of its request.
 *
 * <p>All calls of one request have the same cohort, so a class that is partly shed loses whole requests rather
 * than parts of many. Immutable and safe for use by any thread; equal priorities are the same object.
 */
public final class Priority implements Comparable<Priority> {
    /** The number of cohorts of each class. */
    public static final int COHORTS = 128;

    /** The number of different priorities. */
    public static final int VALUES = PriorityClass.values().length * COHORTS;

    private static final PriorityClass[] CLASSES = PriorityClass.values();
    private static final Priority[] ALL = new Priority[VALUES];

    static {
        for (int value = 0; value < VALUES; value++) {
            ALL[value] = new Priority(value);
        }
    }

    private final int value;

    private Priority(int value) {
        this.value = value;
    }

    /**
     * Returns the priority of a class and a cohort.
     *
     * @throws IllegalArgumentException if the cohort is not in 0..127
     */
    public static Priority of(PriorityClass priorityClass, int cohort) {
        if (cohort < 0 || cohort >= COHORTS) {
            throw new IllegalArgumentException("cohort " + cohort + " is not in 0.." + (COHORTS - 1));
        }
        return ALL[priorityClass.ordinal() * COHORTS + cohort];
    }

    /**
     * Returns the priority with this value.
     *
     * @throws IllegalArgumentException if the value is not in 0..511
     */
    public static Priority ofValue(int value) {
        if (value < 0 || value >= VALUES) {
            throw new IllegalArgumentException("priority " + value + " is not in 0.." + (VALUES - 1));
        }
        return ALL[value];
    }

    /** Returns the cohort of a request, 0 to 127, from the CRC32C of its id in UTF-8. */
    public static int cohortOf(String requestId) {
        return (int) (checksum(requestId) % COHORTS);
    }

    /** Returns the CRC32C of a request id in UTF-8. */
    static long checksum(String requestId) {
        CRC32C checksum = new CRC32C();
        checksum.update(requestId.getBytes(StandardCharsets.UTF_8));
        return checksum.getValue();
    }

    /** Returns the value, 0 (most important) to 511. */
    public int value() {
        return value;
    }

    /** Returns the class. */
    public PriorityClass priorityClass() {
        return CLASSES[value / COHORTS];
    }

    /** Returns the cohort, 0 (shed last) to 127. */
    public int cohort() {
        return value % COHORTS;
    }

    @Override
    public int compareTo(Priority other) {
        return Integer.compare(value, other.value);
    }

    @Override
    public String toString() {
        return priorityClass() + "/" + cohort();
    }
}
