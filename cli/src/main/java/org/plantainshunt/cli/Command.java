package org.plantainshunt.cli;

import net.sourceforge.argparse4j.inf.Namespace;

/** What the tool does for one of its subcommands. */
@FunctionalInterface
interface Command {
    /**
     * Runs the command.
     *
     * @param arguments the parsed arguments
     * @return the report to print
     * @throws CommandException if there is nothing to report
     * @throws InvalidFileException if a document that the command needs is invalid
     */
    Report run(Namespace arguments) throws CommandException, InvalidFileException;
}
