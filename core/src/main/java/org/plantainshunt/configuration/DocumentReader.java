package org.plantainshunt.configuration;

/** Reads a configuration document; the result depends on the bytes alone. Safe for use by any thread. */
@FunctionalInterface
public interface DocumentReader {
    /**
     * Reads a document.
     *
     * @throws InvalidDocumentException with all errors, if there is any
     */
    Document read(byte[] bytes) throws InvalidDocumentException;
}
