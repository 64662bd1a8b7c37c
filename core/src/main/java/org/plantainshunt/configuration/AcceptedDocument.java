package org.plantainshunt.configuration;

import java.util.Optional;

/**
 * The configuration document in force at a node.
 *
 * <p>The document only ever moves upwards in the order of {@link DocumentVersion}, and a document is taken entirely or
 * not at all. Offers come from one thread at a time; any thread may read.
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

    /** A stale or faulty platform offers the same bytes at each poll; their digest spares parsing them again. */
    private String declinedDigest = "";

    private Acceptance declinedAs = Acceptance.INVALID;

    /** Accepts documents in the notation of {@link Document#parse}. */
    public AcceptedDocument() {
        this(Document::parse);
    }

    /** Accepts documents in another notation. */
    public AcceptedDocument(DocumentReader reader) {
        this.reader = reader;
    }

    /**
     * Puts a document in force if it is valid and newer than the one in force.
     *
     * @param bytes the document
     * @return what became of the document
     */
    public synchronized Acceptance offer(byte[] bytes) {
        String digest = Document.digest(bytes);
        if (current != null && current.version().digest().equals(digest)) {
            return Acceptance.SAME;
        }
        if (digest.equals(declinedDigest)) {
            return declinedAs;
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

    /** Returns the document in force; empty until the first one is accepted. */
    public Optional<Document> current() {
        return Optional.ofNullable(current);
    }

    /** Returns why the last invalid document was rejected; empty once a later document has been accepted. */
    public Optional<InvalidDocumentException> lastRejection() {
        return Optional.ofNullable(rejection);
    }

    private Acceptance decline(String digest, Acceptance as) {
        declinedDigest = digest;
        declinedAs = as;
        return as;
    }
}
