package org.plantainshunt.configuration;

/**
 * What became of a document that was offered to a node.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum Acceptance {
    /** The document is newer than the one in force and replaces it. */
    ACCEPTED,
    /** The document is valid, but the one in force is newer and stays. */
    OLDER,
    /** The document is the one in force. */
    SAME,
    /** The document is not valid; the one in force stays. */
    INVALID
}
