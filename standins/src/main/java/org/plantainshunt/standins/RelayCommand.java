package org.plantainshunt.standins;

import java.util.List;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The subcommand {@code relay}; the n-th {@code --listen} address forwards to the n-th {@code --target}. */
final class RelayCommand implements Command {
    private static final int THREADS = 1;

    @Override
    public Subparser describe(Subparsers subparsers) {
        Subparser parser = subparsers.addParser("relay").help("relays TCP connections and simulates network faults");
        parser.addArgument("--listen").action(Arguments.append()).required(true).metavar("IP:PORT");
        parser.addArgument("--target").action(Arguments.append()).required(true).metavar("IP:PORT");
        parser.addArgument("--control").required(true).metavar("IP:PORT");
        return parser;
    }

    // Not closed here: the threads of the relay and of the control server keep running after this method returns.
    @Override
    @SuppressWarnings("resource")
    public void run(Namespace options) throws Exception {
        List<String> listen = options.getList("listen");
        List<String> target = options.getList("target");
        if (listen.size() != target.size()) {
            throw new IllegalArgumentException("each --listen needs a --target");
        }
        Relay relay = new Relay();
        for (int index = 0; index < listen.size(); index++) {
            relay.add(Endpoint.parse(listen.get(index)), Endpoint.parse(target.get(index)));
        }
        RelayControl control = new RelayControl(relay);
        Endpoint endpoint = Endpoint.parse(options.getString("control"));
        HttpServers.start(endpoint, THREADS, chain -> chain.prefix("control", path -> path.all(control::handle)));
        System.out.println("ready " + endpoint);
    }
}
