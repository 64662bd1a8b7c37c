package org.plantainshunt.cli;

/** Thrown for a file that holds no valid document; carries what {@code check} reports about it. */
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
