package org.plantainshunt.standins;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The subcommand {@code platform}. */
final class PlatformCommand implements Command {
    @Override
    public Subparser describe(Subparsers subparsers) {
        Subparser parser = subparsers.addParser("platform").help("serves the configuration and the VM list");
        parser.addArgument("--listen").required(true).metavar("IP:PORT");
        return parser;
    }

    // Not closed here: the server runs until its shutdown hook closes it.
    @Override
    @SuppressWarnings("resource")
    public void run(Namespace options) throws Exception {
        PlatformServer server = new PlatformServer(Endpoint.parse(options.getString("listen")));
        System.out.println("ready " + server.endpoint());
    }
}
