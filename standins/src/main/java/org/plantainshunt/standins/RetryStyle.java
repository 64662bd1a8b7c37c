package org.plantainshunt.standins;

import java.util.Locale;

/** How a caller retries requests that failed or got no response. */
public enum RetryStyle {
    /** Never retries; a request is sent again only to add a ticket that the node requires. */
    NONE,
    /** Retries with exponential backoff, or after the requested delay if longer, within the request's deadline. */
    POLITE,
    /** Retries immediately, each time with the full deadline again. */
    HARD;

    /**
     * Parses the name of a retry style, ignoring case.
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
