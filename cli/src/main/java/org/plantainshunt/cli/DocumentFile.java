package org.plantainshunt.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.InvalidDocumentException;

/** Reads configuration documents from files. */
final class DocumentFile {
    private DocumentFile() {}

    /**
     * Reads a valid document.
     *
     * @throws CommandException if the file cannot be read
     * @throws InvalidFileException if the document is not valid
     */
    static Document read(String file) throws CommandException, InvalidFileException {
        try {
            return Document.parse(bytes(file));
        } catch (InvalidDocumentException e) {
            throw new InvalidFileException(CheckReport.invalid(file, e.errors()));
        }
    }

    private static byte[] bytes(String file) throws CommandException {
        try (InputStream stream = Files.newInputStream(Path.of(file))) {
            // One byte over the limit is enough for the parser to report the document as too large.
            return stream.readNBytes(Document.MAX_BYTES + 1);
        } catch (NoSuchFileException e) {
            throw new CommandException(ExitCode.UNREADABLE, "there is no file " + file);
        } catch (IOException e) {
            throw new CommandException(ExitCode.UNREADABLE, "cannot read " + file + ": " + e.getMessage());
        }
    }
}
