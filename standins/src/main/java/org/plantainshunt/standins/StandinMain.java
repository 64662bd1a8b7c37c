package org.plantainshunt.standins;

import java.util.List;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Runs a test stand-in for a system that nodes interact with: the platform, a backend server, a caller or a network
 * link.
 *
 * <p>Example arguments: {@code platform --listen 127.0.0.1:7000}. The exit status is 0 for success, 1 for a failure and
 * 2 for invalid arguments.
 */
public final class StandinMain {
    private static final String COMMAND = "command";
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    private StandinMain() {}

    /**
     * Parses the arguments and runs the subcommand.
     *
     * @param arguments the subcommand and its options
     */
    public static void main(String[] arguments) {
        // Many stand-in processes share a machine and each has few event loops, so Netty needs few buffer arenas.
        System.setProperty("io.netty.allocator.numDirectArenas", "2");
        System.setProperty("io.netty.allocator.numHeapArenas", "2");
        ArgumentParser parser = parser();
        Namespace options;
        try {
            options = parser.parseArgs(arguments);
        } catch (ArgumentParserException failure) {
            parser.handleError(failure);
            System.exit(EXIT_USAGE);
            return;
        }
        Command command = options.get(COMMAND);
        try {
            command.run(options);
        } catch (IllegalArgumentException failure) {
            System.err.println("error: " + failure.getMessage());
            System.exit(EXIT_USAGE);
        } catch (Exception failure) {
            System.err.println("error: " + failure);
            System.exit(EXIT_FAILURE);
        }
    }

    static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("standins").build();
        Subparsers subparsers = parser.addSubparsers().title("stand-ins").metavar("STAND-IN");
        for (Command command : commands()) {
            command.describe(subparsers).setDefault(COMMAND, command);
        }
        return parser;
    }

    private static List<Command> commands() {
        return List.of(new PlatformCommand(), new BackendServerCommand(), new LoadCommand(), new RelayCommand());
    }
}
