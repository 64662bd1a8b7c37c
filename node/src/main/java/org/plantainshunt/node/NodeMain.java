package org.plantainshunt.node;

import java.nio.file.Path;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The main class of the node daemon. */
public final class NodeMain {
    private static final Logger LOGGER = LoggerFactory.getLogger(NodeMain.class);
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private NodeMain() {}

    /** Runs a node until SIGTERM. */
    public static void main(String[] arguments) {
        JulBridge.install();
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, error) -> LOGGER.error("thread {} failed", thread.getName(), error));
        ArgumentParser parser = ArgumentParsers.newFor("plantainshunt-node")
                .build()
                .defaultHelp(true)
                .description("Runs the node beside one backend server until SIGTERM.");
        parser.addArgument("--settings").required(true).metavar("FILE").help("the settings of the node, an INI file");
        parser.addArgument("--check")
                .action(Arguments.storeTrue())
                .help("read the settings, report what is wrong with them, and exit");
        Namespace options;
        try {
            options = parser.parseArgs(arguments);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
            return;
        }
        int status = run(Path.of(options.getString("settings")), options.getBoolean("check"));
        LogConfiguration.flush();
        System.exit(status);
    }

    private static int run(Path file, boolean checkOnly) {
        NodeSettings settings;
        try {
            settings = NodeSettings.read(file);
        } catch (InvalidSettingsException e) {
            LOGGER.error("settings: {}", e.getMessage());
            return EXIT_USAGE;
        }
        if (checkOnly) {
            return 0;
        }
        return serve(settings);
    }

    private static int serve(NodeSettings settings) {
        WarmUp.run();
        Node node;
        try {
            node = new Node(settings);
        } catch (Exception e) {
            LOGGER.error("the node cannot start", e);
            return EXIT_FAILED;
        }
        StopSignal.await(node, () -> {});
        return 0;
    }
}
