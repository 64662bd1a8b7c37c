package org.plantainshunt.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The result of running the tool in this process.
 *
 * @param exitCode the exit code
 * @param out the standard output
 * @param err the standard error
 */
record CommandResult(ExitCode exitCode, String out, String err) {
    static final String BELL_MESH = Path.of("..", "examples", "bell-mesh.ini").toString();

    static CommandResult of(String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        ExitCode exitCode = CommandLine.run(arguments, stream(out), stream(err));
        return new CommandResult(exitCode, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    /** Writes a copy of the Bell Mesh document with replacements, given in pairs, and returns its path. */
    static String changedBellMesh(Path directory, String... replacements) throws IOException {
        String text = Files.readString(Path.of(BELL_MESH));
        for (int index = 0; index < replacements.length; index += 2) {
            if (!text.contains(replacements[index])) {
                throw new IllegalArgumentException(replacements[index]);
            }
            text = text.replace(replacements[index], replacements[index + 1]);
        }
        return Files.writeString(directory.resolve("changed.ini"), text).toString();
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }
}
