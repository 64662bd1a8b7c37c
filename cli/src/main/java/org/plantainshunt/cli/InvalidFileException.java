package org.plantainshunt.cli;

/** Thrown if a file is not a valid document; carries the report that {@code check} prints for it. */
class InvalidFileException extends Exception {
    private final transient CheckReport report;

    InvalidFileException(CheckReport report) {
        super(report.file() + " is not a valid document");
        this.report = report;
    }

    CheckReport report() {
        return report;
    }
}
