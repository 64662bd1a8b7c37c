package org.plantainshunt.cli;

/** Thrown by a command that has no report; carries the exit code and a message of one line. */
class CommandException extends Exception {
    private final ExitCode exitCode;

    CommandException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
