package org.plantainshunt.standins;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Records every request that a backend server stand-in received, so that invariants can be checked.
 *
 * <p>Keeps the latest requests in memory, and optionally appends each change to a file as a JSON line. Each line is
 * passed to the operating system, without buffering, before the request proceeds, so no line is lost if the process is
 * killed. Thread-safe.
 */
final class RequestJournal implements AutoCloseable {
    /** Limits the file to about 600 MB, at about 300 bytes a line. */
    private static final long MAX_FILE_LINES = 2_000_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final int limit;
    private final Map<Long, RequestRecord> records = new LinkedHashMap<>();
    private final OutputStream file;
    private long lines;
    private long evicted;

    /**
     * Opens the journal.
     *
     * @param limit maximum number of requests kept in memory
     * @param file the file to append to, if any
     * @throws IOException if the file cannot be opened
     */
    RequestJournal(int limit, Optional<Path> file) throws IOException {
        this.limit = limit;
        this.file = file.isEmpty()
                ? OutputStream.nullOutputStream()
                : Files.newOutputStream(file.get(), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        this.lines = file.isEmpty() ? MAX_FILE_LINES : 0;
    }

    synchronized void received(RequestRecord record) {
        if (records.size() >= limit) {
            records.remove(records.keySet().iterator().next());
            evicted++;
        }
        records.put(record.sequence(), record);
        append(record);
    }

    synchronized void changed(long sequence, UnaryOperator<RequestRecord> change) {
        RequestRecord record = records.get(sequence);
        if (record == null) {
            return;
        }
        RequestRecord next = change.apply(record);
        records.put(sequence, next);
        append(next);
    }

    /** Returns the requests in memory as JSON lines. */
    synchronized String lines() {
        StringBuilder text = new StringBuilder();
        for (RequestRecord record : records.values()) {
            text.append(line(record));
        }
        return text.toString();
    }

    /** Returns the number of requests that were evicted from memory. */
    synchronized long evicted() {
        return evicted;
    }

    @Override
    public synchronized void close() throws IOException {
        file.close();
    }

    private void append(RequestRecord record) {
        if (lines >= MAX_FILE_LINES) {
            return;
        }
        lines++;
        try {
            file.write(line(record).getBytes(StandardCharsets.UTF_8));
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot write to the file of request records", failure);
        }
    }

    private static String line(RequestRecord record) {
        try {
            return JSON.writeValueAsString(record) + "\n";
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot write a request record as JSON", failure);
        }
    }
}
