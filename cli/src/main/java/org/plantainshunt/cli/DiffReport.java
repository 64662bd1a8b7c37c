package org.plantainshunt.cli;

import java.util.List;

import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.DocumentChanges;

/**
 * The changes in behaviour between two versions of a document.
 *
 * @param oldVersion the version of the current document
 * @param newVersion the version of the new document
 * @param taken whether nodes with the old document accept the new one
 * @param changes the differences, one per line
 */
record DiffReport(long oldVersion, long newVersion, boolean taken, List<String> changes) implements Report {
    static DiffReport between(Document old, Document next) {
        return new DiffReport(
                old.version().number(),
                next.version().number(),
                next.version().compareTo(old.version()) >= 0,
                DocumentChanges.between(old, next));
    }

    @Override
    public String text() {
        if (changes.isEmpty()) {
            return "version " + oldVersion + " -> " + newVersion + ": no change in behaviour\n";
        }
        return "version " + oldVersion + " -> " + newVersion + ": " + changes.size()
                + (changes.size() == 1 ? " change\n" : " changes\n") + String.join("\n", changes) + "\n";
    }

    @Override
    public ExitCode exitCode() {
        return taken ? ExitCode.SUCCESS : ExitCode.CHECK_FAILED;
    }
}
