package org.plantainshunt.cli;

/**
 * The exit codes of the tool.
 *
 * <p>Immutable and safe for use by any thread.
 */
enum ExitCode {
    /** The command succeeded and found no problem. */
    SUCCESS(0),
    /**
     * The check failed: a document is invalid, would be ignored or lacks the given kind of request, a trace is invalid,
     * or a node is unhealthy.
     */
    CHECK_FAILED(1),
    /** The arguments are invalid. */
    USAGE(2),
    /** A file or the status of a node could not be read. */
    UNREADABLE(3);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
