package org.plantainshunt.cli;

import net.sourceforge.argparse4j.inf.Namespace;

/** The implementation of a subcommand. */
@FunctionalInterface
interface Command {
    /**
     * Runs the command.
     *
     * @param arguments the parsed arguments
     * @return the report to print
     * @throws CommandException if the command fails without a report
     * @throws InvalidFileException if a document that the command needs is invalid
     */
    Report run(Namespace arguments) throws CommandException, InvalidFileException;
}
