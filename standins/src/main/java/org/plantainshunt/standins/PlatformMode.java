package org.plantainshunt.standins;

import java.util.Locale;

/** How the platform stand-in treats reads. */
enum PlatformMode {
    /** Answers with the current documents. */
    OK,
    /** Answers 503 to each read. */
    DOWN,
    /** Accepts reads and never answers them. */
    STALLED,
    /** Answers with the documents that were current when this mode was set. */
    STALE;

    static PlatformMode parse(String text) {
        try {
            return valueOf(text.strip().toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException failure) {
            throw new IllegalArgumentException("mode is not one of ok, down, stalled, stale: " + text, failure);
        }
    }
}
