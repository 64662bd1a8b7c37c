package org.plantainshunt.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * One run of the tool in this process.
 *
 * @param exitCode the exit code
 * @param out what was printed to the standard output
 * @param err what was printed to the standard error
 */
record Run(ExitCode exitCode, String out, String err) {
    static final String BELL_MESH = Path.of("..", "examples", "bell-mesh.ini").toString();

    static Run of(String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        ExitCode exitCode = CommandLine.run(arguments, stream(out), stream(err));
        return new Run(exitCode, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    /** Writes a copy of the Bell Mesh document in which some texts are replaced, and returns its path. */
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
