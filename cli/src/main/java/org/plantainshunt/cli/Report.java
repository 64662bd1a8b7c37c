package org.plantainshunt.cli;

/**
 * The result of a command: a record that is printed as JSON by its components, or as human-readable text.
 *
 * <p>Implementations are immutable.
 */
interface Report {
    /** Returns the report as human-readable text; each line ends with a line feed. */
    String text();

    ExitCode exitCode();
}
