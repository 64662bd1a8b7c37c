package org.plantainshunt.bench.fleet;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Locates the jars of the programs that a fleet runs, and builds their command lines.
 *
 * <p>The system property {@code plantainshunt.root} sets the root of the source tree; by default it is searched for
 * from the working directory upwards. {@code plantainshunt.node.jar} replaces the jar of the node. Stateless.
 */
final class Programs {
    private static final List<String> NODE_OPTIONS = List.of(
            "-Xmx96m",
            "-XX:MaxMetaspaceSize=64m",
            "-XX:ReservedCodeCacheSize=32m",
            "-XX:MaxDirectMemorySize=32m",
            "-XX:+UseSerialGC",
            "-Xss512k");
    /** With C1 alone, short-lived stand-ins warm up sooner, which matters more to them than peak performance. */
    private static final List<String> STANDIN_OPTIONS =
            List.of("-Xmx96m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xss512k");

    private Programs() {}

    /** Returns the command line of the node, without the options of the program. */
    static List<String> node() throws IOException {
        String given = System.getProperty("plantainshunt.node.jar");
        return command(NODE_OPTIONS, given == null ? jar("node") : Path.of(given));
    }

    /** Returns the command line of a stand-in, without its subcommand and options. */
    static List<String> standin() throws IOException {
        return command(STANDIN_OPTIONS, jar("standins"));
    }

    private static List<String> command(List<String> options, Path jar) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.add("-jar");
        command.add(jar.toString());
        return command;
    }

    private static Path jar(String module) throws IOException {
        Path directory = root().resolve(module).resolve("target");
        if (Files.isDirectory(directory)) {
            try (DirectoryStream<Path> jars = Files.newDirectoryStream(directory, "plantainshunt-*-all.jar")) {
                for (Path jar : jars) {
                    return jar.toAbsolutePath();
                }
            }
        }
        throw new IOException("no jar in " + directory + "; build it with mvn -B -DskipTests package");
    }

    private static Path root() throws IOException {
        String given = System.getProperty("plantainshunt.root");
        if (given != null) {
            return Path.of(given);
        }
        Path directory = Path.of("").toAbsolutePath();
        while (directory != null) {
            if (Files.isDirectory(directory.resolve("standins")) && Files.isDirectory(directory.resolve("core"))) {
                return directory;
            }
            directory = directory.getParent();
        }
        throw new IOException(
                "the working directory is outside the source tree; set the system property plantainshunt.root");
    }
}
