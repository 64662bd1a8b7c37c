package org.plantainshunt.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * The command-line tool {@code plantainshunt}.
 *
 * <p>Exit codes: 0 success, 1 the check failed, 2 invalid arguments, 3 a file or a node could not be read. Stateless.
 */
public final class CommandLine {
    private static final String EXIT_CODES =
            "exit codes: 0 success; 1 the check failed; 2 invalid arguments; 3 a file or a node could not be read";

    private CommandLine() {}

    /** Runs the tool and ends the process with the exit code. */
    public static void main(String[] arguments) {
        PrintStream out = stream(FileDescriptor.out);
        PrintStream err = stream(FileDescriptor.err);
        int exitCode = run(arguments, out, err).number();
        out.flush();
        err.flush();
        System.exit(exitCode);
    }

    /** Runs the tool and returns its exit code. */
    static ExitCode run(String[] arguments, PrintStream out, PrintStream err) {
        ArgumentParser parser = parser();
        try {
            Namespace parsed = parser.parseArgs(arguments);
            return run(parsed, out, err);
        } catch (HelpScreenException e) {
            return ExitCode.SUCCESS;
        } catch (ArgumentParserException e) {
            PrintWriter writer = new PrintWriter(err);
            parser.handleError(e, writer);
            writer.flush();
            return ExitCode.USAGE;
        }
    }

    private static ExitCode run(Namespace arguments, PrintStream out, PrintStream err) {
        Command command = arguments.get("command");
        Output output = Output.valueOf(arguments.getString("output").toUpperCase(Locale.ROOT));
        try {
            return print(command.run(arguments), output, out);
        } catch (InvalidFileException e) {
            return print(e.report(), output, out);
        } catch (CommandException e) {
            err.println("plantainshunt: " + e.getMessage());
            return e.exitCode();
        }
    }

    private static ExitCode print(Report report, Output output, PrintStream out) {
        output.print(report, out);
        return report.exitCode();
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("plantainshunt")
                .build()
                .description("Checks, compares and explains configuration documents, shows the state of nodes and"
                        + " replays their traces.")
                .epilog(EXIT_CODES);
        Subparsers subparsers = parser.addSubparsers().title("commands").metavar("COMMAND");
        Subparser check = subparser(subparsers, "check", "check a document and report all errors", Commands::check);
        addFile(check, "file", "the document");
        Subparser diff = subparser(subparsers, "diff", "show what changes in behaviour", Commands::diff);
        addFile(diff, "old", "the current document");
        addFile(diff, "new", "the new document");
        addExplain(subparsers);
        Subparser status = subparser(subparsers, "status", "show the state of nodes", Commands::status);
        status.addArgument("node").nargs("+").metavar("NODE").help("HOST:PORT of a node's admin port");
        addReplay(subparsers);
        subparser(subparsers, "codes", "list the result codes", Commands::codes);
        return parser;
    }

    private static void addExplain(Subparsers subparsers) {
        Subparser explain = subparser(
                subparsers,
                "explain",
                "explain how a kind of request is handled, and its result codes",
                Commands::explain);
        addFile(explain, "file", "the document");
        explain.addArgument("service").metavar("SERVICE").help("the service");
        explain.addArgument("kind").metavar("KIND").help("the kind of request");
        explain.addArgument("--code")
                .type(Integer.class)
                .metavar("NUMBER")
                .help("a result code, as in the header Plantainshunt-Result");
    }

    private static void addReplay(Subparsers subparsers) {
        Subparser replay = subparser(
                subparsers, "replay", "replay the trace of a node's decisions, with other limits", Commands::replay);
        addFile(replay, "trace", "the file of [trace] decisions, plain or .gz");
        replay.addArgument("--slots")
                .type(Integer.class)
                .metavar("N")
                .help("the number of slots to use instead of the recorded one");
    }

    private static Subparser subparser(Subparsers subparsers, String name, String help, Command command) {
        Subparser subparser =
                subparsers.addParser(name).help(help).description(help).epilog(EXIT_CODES);
        subparser
                .addArgument("--output")
                .choices("table", "json")
                .setDefault("table")
                .help("the output format (default: table)");
        return subparser.setDefault("command", command);
    }

    private static void addFile(Subparser subparser, String name, String help) {
        subparser.addArgument(name).metavar(name.toUpperCase(Locale.ROOT)).help(help);
    }

    private static PrintStream stream(FileDescriptor descriptor) {
        return new PrintStream(new FileOutputStream(descriptor), true, StandardCharsets.UTF_8);
    }
}
