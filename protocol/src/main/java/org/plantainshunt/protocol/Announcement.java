package org.plantainshunt.protocol;

import java.util.Objects;

/**
 * Announces the version of a document that a node has. Immutable.
 *
 * @param documentKind configuration or VM list
 * @param number version or revision of the document
 * @param digest lower-case hexadecimal SHA-256 of the document
 */
public record Announcement(String documentKind, long number, String digest) {
    /** Rejects null components. */
    public Announcement {
        Objects.requireNonNull(documentKind, "documentKind");
        Objects.requireNonNull(digest, "digest");
    }
}
