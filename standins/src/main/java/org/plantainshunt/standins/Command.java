package org.plantainshunt.standins;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** A subcommand of {@link StandinMain}. */
interface Command {
    /** Registers the subcommand with its options and returns its parser. */
    Subparser describe(Subparsers subparsers);

    /**
     * Runs the stand-in to completion, or starts a server whose threads keep the process alive.
     *
     * @throws Exception if the stand-in cannot be started or fails
     */
    void run(Namespace options) throws Exception;
}
