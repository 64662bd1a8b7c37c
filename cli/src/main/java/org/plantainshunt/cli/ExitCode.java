package org.plantainshunt.cli;

/**
 * The exit codes of the tool.
 *
 * <p>Immutable and safe for use by any thread.
 */
enum ExitCode {
    /** All is well. */
    FINE(0),
    /** What was checked is wrong: a document is invalid or would be ignored, or a node is not in order. */
    WRONG(1),
    /** The arguments are wrong. */
    USAGE(2),
    /** A file or a node could not be read. */
    UNREADABLE(3);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
