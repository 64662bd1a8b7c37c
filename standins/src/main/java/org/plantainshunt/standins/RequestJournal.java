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
 * The record of every request that a backend server stand-in received, by which invariants are judged.
 *
 * <p>Keeps the latest requests in memory, and optionally appends each change to a file as a JSON line. A line is handed
 * to the operating system before the request runs, so a killed process loses none. Safe for use by any thread.
 */
final class RequestJournal implements AutoCloseable {
    /** Bounds the file; at about 300 bytes a line this is some 600 MB. */
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
     * @param limit the number of requests kept in memory
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

    /** Returns one JSON line for each request in memory. */
    synchronized String lines() {
        StringBuilder text = new StringBuilder();
        for (RequestRecord record : records.values()) {
            text.append(line(record));
        }
        return text.toString();
    }

    /** Returns how many requests are no longer in memory. */
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
            throw new UncheckedIOException("cannot write the record of requests", failure);
        }
    }

    private static String line(RequestRecord record) {
        try {
            return JSON.writeValueAsString(record) + "\n";
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot write a record as JSON", failure);
        }
    }
}
