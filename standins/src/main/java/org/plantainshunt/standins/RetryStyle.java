package org.plantainshunt.standins;

import java.util.Locale;

/** How a caller repeats work that was not answered. */
public enum RetryStyle {
    /** Never repeats; only a ticket that was asked for is sent. */
    NONE,
    /** Waits with growing pauses, or as long as it is asked to, and stays within the deadline of the work. */
    POLITE,
    /** Repeats at once, each time with the whole deadline again. */
    HARD;

    /**
     * Reads the name of a style.
     *
     * @throws IllegalArgumentException if there is no such style
     */
    static RetryStyle parse(String text) {
        try {
            return valueOf(text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException failure) {
            throw new IllegalArgumentException("retry style is not one of none, polite, hard: " + text, failure);
        }
    }
}
