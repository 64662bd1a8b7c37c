package org.plantainshunt.cli;

/** Thrown by a command that fails without a report; carries the exit code and a one-line message. */
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
