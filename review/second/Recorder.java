package secondreview;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, run and answered to the record of a case, with the milliseconds since its start. Thread-safe. */
final class Recorder implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter file;

    Recorder(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8));
    }

    /** Returns the milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        file.printf(Locale.ROOT, "%7d  %s%n", now(), String.format(Locale.ROOT, format, values));
        file.flush();
    }

    /** Writes a line to the record and to standard output. */
    void say(String format, Object... values) {
        line(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}
