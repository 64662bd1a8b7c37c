package org.plantainshunt.protocol;

import java.util.Objects;

/**
 * A complete document. The bytes are not copied and must not be changed.
 *
 * @param documentKind configuration or VM list
 * @param number version or revision of the document
 * @param digest lower-case hexadecimal SHA-256 of the uncompressed document; not checked by this module
 * @param compressed the document, compressed with gzip; at most {@value #MAXIMUM_BYTES} bytes
 */
public record DocumentMessage(String documentKind, long number, String digest, byte[] compressed) {
    /** Maximum size of a compressed document, in bytes. The platform stores at most 1 MB before compression. */
    public static final int MAXIMUM_BYTES = 2 << 20;

    /** Rejects null components and documents over the size limit. */
    public DocumentMessage {
        Objects.requireNonNull(documentKind, "documentKind");
        Objects.requireNonNull(digest, "digest");
        if (compressed.length > MAXIMUM_BYTES) {
            throw new IllegalArgumentException("document " + documentKind + " has " + compressed.length
                    + " bytes after compression, over the limit");
        }
    }
}
