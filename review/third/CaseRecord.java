package review.third;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the seconds since its start. Thread-safe. */
final class CaseRecord implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    CaseRecord(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void line(String text) {
        out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
    }

    /** Writes a line to the record and to the standard output. */
    synchronized void say(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
