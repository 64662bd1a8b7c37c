package org.plantainshunt.standins;

import java.util.Locale;

/** How the platform stand-in responds to reads. */
enum PlatformMode {
    /** Serves the current documents. */
    OK,
    /** Responds with status 503. */
    DOWN,
    /** Accepts reads but never responds. */
    STALLED,
    /** Serves the documents that were current when this mode was set. */
    STALE;

    static PlatformMode parse(String text) {
        try {
            return valueOf(text.strip().toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException failure) {
            throw new IllegalArgumentException("mode is not one of ok, down, stalled, stale: " + text, failure);
        }
    }
}
