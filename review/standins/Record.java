package review.standins;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line for each thing that was sent, answered or run. Thread-safe. */
public final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter file;

    public Record(Path path) {
        try {
            file = new PrintWriter(Files.newBufferedWriter(path));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the seconds since the start of the run. */
    public double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    public synchronized void line(String format, Object... arguments) {
        file.printf(Locale.ROOT, "%8.3f %s%n", seconds(), String.format(Locale.ROOT, format, arguments));
        file.flush();
    }

    /** Writes a line to the record and to standard output. */
    public void report(String format, Object... arguments) {
        line(format, arguments);
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}
