package org.plantainshunt.configuration;

/**
 * The result of offering a document to a node.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum Acceptance {
    /** The document is newer than the current one and replaces it. */
    ACCEPTED,
    /** The document is valid, but older than the current one, which stays. */
    OLDER,
    /** The document is the current one. */
    SAME,
    /** The document is invalid; the current one stays. */
    INVALID
}
