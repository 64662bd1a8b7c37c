package org.plantainshunt.configuration;

/**
 * The version of a configuration document, by which all nodes order documents.
 *
 * <p>Documents are ordered by their number and, for equal numbers, by their digest. The order is total, so that all
 * nodes converge on the same document when two operators publish at once. Immutable and safe for use by any thread.
 *
 * @param number the version that the document states
 * @param digest the SHA-256 of the document's bytes, in lower-case hexadecimal
 */
public record DocumentVersion(long number, String digest) implements Comparable<DocumentVersion> {
    @Override
    public int compareTo(DocumentVersion other) {
        int byNumber = Long.compare(number, other.number);
        return byNumber != 0 ? byNumber : digest.compareTo(other.digest);
    }
}
