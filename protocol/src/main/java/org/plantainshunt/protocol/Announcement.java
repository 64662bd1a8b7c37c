package org.plantainshunt.protocol;

import java.util.Objects;

/**
 * Tells a peer which document a node has. Immutable.
 *
 * @param documentKind configuration or VM list
 * @param number version or revision of the document
 * @param digest lower-case hexadecimal SHA-256 of the document
 */
public record Announcement(String documentKind, long number, String digest) {
    /** Checks that no part is missing. */
    public Announcement {
        Objects.requireNonNull(documentKind, "documentKind");
        Objects.requireNonNull(digest, "digest");
    }
}
