package org.plantainshunt.cli;

/**
 * The result of a command: a record whose components are its JSON form, and its text for a person.
 *
 * <p>Implementations are immutable.
 */
interface Report {
    /** Returns the report as lines and tables, each line ended by a line feed. */
    String text();

    ExitCode exitCode();
}
