package org.plantainshunt.control;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compresses the documents that nodes exchange. Stateless and safe for use by any thread. */
final class Compression {
    /** The platform's own size limit, which also bounds the memory that a document sent by a peer takes here. */
    private static final int MAX_DOCUMENT_BYTES = 1024 * 1024;

    private Compression() {}

    static byte[] compress(byte[] bytes) throws IOException {
        ByteArrayOutputStream target = new ByteArrayOutputStream();
        try (GZIPOutputStream zip = new GZIPOutputStream(target)) {
            zip.write(bytes);
        }
        return target.toByteArray();
    }

    static byte[] decompress(byte[] compressed) throws IOException {
        try (GZIPInputStream zip = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            byte[] bytes = zip.readNBytes(MAX_DOCUMENT_BYTES + 1);
            if (bytes.length > MAX_DOCUMENT_BYTES) {
                throw new IOException("the document is larger than " + MAX_DOCUMENT_BYTES + " bytes");
            }
            return bytes;
        }
    }

    /** Returns the SHA-256 digest in lower-case hexadecimal. */
    static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
