package org.plantainshunt.configuration;

import java.util.Optional;

/**
 * The current configuration document of a node.
 *
 * <p>A document is replaced only by one of a higher {@link DocumentVersion}, and is accepted as a whole or not at all.
 * Offers are processed one at a time; any thread may read.
 *
 * <pre>{@code
 * if (accepted.offer(bytes) == Acceptance.ACCEPTED) {
 *     announce(accepted.current().orElseThrow().version());
 * }
 * }</pre>
 */
public final class AcceptedDocument {
    private final DocumentReader reader;
    private volatile Document current;
    private volatile InvalidDocumentException rejection;

    /**
     * The digest of the last document that was not accepted. A stale or faulty platform offers the same bytes at each
     * poll; comparing digests avoids parsing them again.
     */
    private String declinedDigest = "";

    private Acceptance declinedResult = Acceptance.INVALID;

    /** Accepts documents in the notation of {@link Document#parse}. */
    public AcceptedDocument() {
        this(Document::parse);
    }

    /** Accepts documents in another notation. */
    public AcceptedDocument(DocumentReader reader) {
        this.reader = reader;
    }

    /**
     * Makes a document the current one if it is valid and newer than the current one.
     *
     * @param bytes the document
     * @return whether the document was accepted, or why not
     */
    public synchronized Acceptance offer(byte[] bytes) {
        String digest = Document.digest(bytes);
        if (current != null && current.version().digest().equals(digest)) {
            return Acceptance.SAME;
        }
        if (digest.equals(declinedDigest)) {
            return declinedResult;
        }
        try {
            Document offered = reader.read(bytes);
            if (current != null && offered.version().compareTo(current.version()) < 0) {
                return decline(digest, Acceptance.OLDER);
            }
            current = offered;
            rejection = null;
            return Acceptance.ACCEPTED;
        } catch (InvalidDocumentException e) {
            rejection = e;
            return decline(digest, Acceptance.INVALID);
        }
    }

    /** Returns the current document; empty until the first one is accepted. */
    public Optional<Document> current() {
        return Optional.ofNullable(current);
    }

    /** Returns why the last invalid document was rejected; empty once a later document has been accepted. */
    public Optional<InvalidDocumentException> lastRejection() {
        return Optional.ofNullable(rejection);
    }

    private Acceptance decline(String digest, Acceptance result) {
        declinedDigest = digest;
        declinedResult = result;
        return result;
    }
}
