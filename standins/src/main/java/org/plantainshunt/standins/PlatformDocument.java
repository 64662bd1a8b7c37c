package org.plantainshunt.standins;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A document served by the platform stand-in, with its entity tag.
 *
 * <p>Immutable, provided that callers do not modify the array returned by {@link #bytes}.
 */
final class PlatformDocument {
    private final byte[] bytes;
    private final String entityTag;

    PlatformDocument(byte[] bytes) {
        this.bytes = bytes.clone();
        this.entityTag = '"' + digest(bytes) + '"';
    }

    byte[] bytes() {
        return bytes;
    }

    /** Returns the quoted entity tag, which is the SHA-256 of the bytes in hexadecimal. */
    String entityTag() {
        return entityTag;
    }

    private static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException failure) {
            throw new IllegalStateException("SHA-256 is not available", failure);
        }
    }
}
