package org.plantainshunt.standins;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The subcommand {@code backend-server}. */
final class BackendServerCommand implements Command {
    private static final double DEFAULT_SIGMA = 0.3;
    private static final int DEFAULT_RECORD_LIMIT = 100_000;

    @Override
    public Subparser describe(Subparsers subparsers) {
        Subparser parser = subparsers.addParser("backend-server").help("runs requests in a bounded number of slots");
        parser.addArgument("--listen").required(true).metavar("IP:PORT");
        parser.addArgument("--service").required(true);
        parser.addArgument("--name").help("name in records and responses; SERVICE@IP:PORT by default");
        parser.addArgument("--slots").type(Integer.class).required(true);
        parser.addArgument("--queue").type(Integer.class).setDefault(0).help("requests that may wait for a slot");
        parser.addArgument("--kind")
                .action(Arguments.append())
                .required(true)
                .metavar("KIND=MS")
                .help("a kind and its mean service time in milliseconds");
        parser.addArgument("--sigma").type(Double.class).setDefault(DEFAULT_SIGMA);
        parser.addArgument("--straggler-share").type(Double.class).setDefault(0.0);
        parser.addArgument("--straggler-factor").type(Double.class).setDefault(1.0);
        parser.addArgument("--cold-ms")
                .type(Double.class)
                .setDefault(0.0)
                .help("how long the server runs slower after its start");
        parser.addArgument("--call").action(Arguments.append()).metavar("KIND=SERVICE/KIND*COUNT");
        parser.addArgument("--call-attempts").type(Integer.class).setDefault(1);
        parser.addArgument("--outbound").metavar("IP:PORT").help("outbound address of the node");
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
        parser.addArgument("--report-lag-ms").type(Long.class).setDefault(0L);
        parser.addArgument("--record").metavar("FILE").help("appends the record of requests to a file");
        parser.addArgument("--record-limit").type(Integer.class).setDefault(DEFAULT_RECORD_LIMIT);
        return parser;
    }

    // Not closed here: the server runs until its shutdown hook closes it.
    @Override
    @SuppressWarnings("resource")
    public void run(Namespace options) throws Exception {
        BackendServer server = new BackendServer(read(options));
        System.out.println("ready " + server.endpoint());
    }

    static BackendServerOptions read(Namespace options) {
        Endpoint listen = Endpoint.parse(options.getString("listen"));
        String name = options.getString("name");
        List<String> calls = options.getList("call");
        String record = options.getString("record");
        String outbound = options.getString("outbound");
        return new BackendServerOptions(
                listen,
                name == null ? options.getString("service") + "@" + listen : name,
                options.getInt("slots"),
                options.getInt("queue"),
                kinds(options.getList("kind")),
                new ServiceTimes.Spread(
                        options.getDouble("sigma"),
                        options.getDouble("straggler_share"),
                        options.getDouble("straggler_factor"),
                        options.getDouble("cold_ms")),
                calls == null
                        ? List.of()
                        : calls.stream().map(DeclaredCall::parse).toList(),
                options.getInt("call_attempts"),
                Optional.ofNullable(outbound).map(Endpoint::parse),
                options.getLong("seed"),
                options.getLong("report_lag_ms"),
                options.getInt("record_limit"),
                Optional.ofNullable(record).map(Path::of));
    }

    private static Map<String, Double> kinds(List<String> texts) {
        Map<String, Double> kinds = new HashMap<>();
        for (String text : texts) {
            String[] parts = text.split("=", -1);
            if (parts.length != 2) {
                throw new IllegalArgumentException("kind is not of the form KIND=MS: " + text);
            }
            kinds.put(parts[0], Double.parseDouble(parts[1]));
        }
        return kinds;
    }
}
