package org.plantainshunt.control;

import java.nio.charset.StandardCharsets;

import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.DocumentReader;
import org.plantainshunt.configuration.InvalidVmListException;
import org.plantainshunt.configuration.VmList;

/**
 * The notations of the documents that nodes read from the platform and pass among themselves.
 *
 * <p>Immutable and safe for use by any thread, as are its readers.
 *
 * @param configuration reads a configuration
 * @param vmList reads a VM list
 */
public record DocumentFormats(DocumentReader configuration, VmListReader vmList) {
    /** The notations of docs/configuration.md. */
    public static final DocumentFormats INI =
            new DocumentFormats(Document::parse, bytes -> VmList.parse(new String(bytes, StandardCharsets.UTF_8)));

    /** Reads a VM list; the result depends on the bytes alone. */
    @FunctionalInterface
    public interface VmListReader {
        /**
         * Reads a VM list.
         *
         * @throws InvalidVmListException with every error, if the bytes are no valid VM list
         */
        VmList read(byte[] bytes) throws InvalidVmListException;
    }
}
