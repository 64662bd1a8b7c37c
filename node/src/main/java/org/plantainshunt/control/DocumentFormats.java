package org.plantainshunt.control;

import java.nio.charset.StandardCharsets;

import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.DocumentReader;
import org.plantainshunt.configuration.InvalidVmListException;
import org.plantainshunt.configuration.VmList;

/**
 * The formats of the documents that nodes read from the platform and exchange with each other.
 *
 * <p>Immutable and safe for use by any thread, as are its readers.
 *
 * @param configuration the reader of configurations
 * @param vmList the reader of VM lists
 */
public record DocumentFormats(DocumentReader configuration, VmListReader vmList) {
    /** The formats described in docs/configuration.md. */
    public static final DocumentFormats INI =
            new DocumentFormats(Document::parse, bytes -> VmList.parse(new String(bytes, StandardCharsets.UTF_8)));

    /** Reads a VM list. The result must depend on the bytes alone. */
    @FunctionalInterface
    public interface VmListReader {
        /**
         * Reads a VM list.
         *
         * @throws InvalidVmListException if the bytes are not a valid VM list, with all errors found
         */
        VmList read(byte[] bytes) throws InvalidVmListException;
    }
}
