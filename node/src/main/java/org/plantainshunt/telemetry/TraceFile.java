package org.plantainshunt.telemetry;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import org.plantainshunt.replay.TraceEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The file that the trace of decisions is written to, with one JSON object per line.
 *
 * <p>An existing file is replaced. The file never exceeds its maximum size: when the next line would not fit, a last
 * line states that and recording stops. Recording also stops at the first failed write. Confined to the telemetry
 * thread, except {@link #open} and {@link #node}.
 */
public final class TraceFile implements AutoCloseable {
    /** The maximum size of a node's trace file, in bytes. */
    public static final long MAX_FILE_BYTES = 64L * 1024 * 1024;

    private static final Logger LOGGER = LoggerFactory.getLogger(TraceFile.class);
    /** Space reserved for the last line, which is shorter than this. */
    private static final int RESERVED_LAST_LINE_BYTES = 128;

    private final ObjectWriter json;
    private final Path path;
    private final String node;
    private final long limitBytes;
    private final OutputStream out;
    private long writtenBytes;
    private volatile boolean open = true;

    /**
     * Opens the file.
     *
     * @param node the name of the node
     * @param limitBytes the maximum size of the file, in bytes
     * @throws IOException if the file cannot be written
     */
    public TraceFile(Path path, String node, long limitBytes) throws IOException {
        this.path = path;
        this.node = node;
        this.limitBytes = limitBytes;
        this.out = new BufferedOutputStream(Files.newOutputStream(path));
        ObjectMapper mapper = new ObjectMapper().addMixIn(TraceEvent.class, EventNameMixIn.class);
        TraceEvent.TYPES.forEach((name, type) -> mapper.registerSubtypes(new NamedType(type, name)));
        this.json = mapper.writer();
    }

    /** Adds the name of the event to its JSON object. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
    private interface EventNameMixIn {}

    /** Returns the name of the node. */
    String node() {
        return node;
    }

    /** Returns whether further lines are written. */
    boolean open() {
        return open;
    }

    /** Writes a line, or stops recording if it would exceed the maximum size. */
    void write(TraceEvent event) {
        if (!open) {
            return;
        }
        byte[] line = line(event);
        if (writtenBytes + line.length > limitBytes - RESERVED_LAST_LINE_BYTES) {
            LOGGER.warn("recording of decisions stopped: {} reached its limit of {} bytes", path, limitBytes);
            append(line(new TraceEvent.Full(limitBytes)));
            close();
            return;
        }
        append(line);
    }

    /** Flushes the buffered lines to the operating system. */
    void flush() {
        if (!open) {
            return;
        }
        try {
            out.flush();
        } catch (IOException e) {
            stop(e);
        }
    }

    @Override
    public void close() {
        if (!open) {
            return;
        }
        open = false;
        try {
            out.close();
        } catch (IOException e) {
            LOGGER.warn("failed to close {}", path, e);
        }
    }

    private byte[] line(TraceEvent event) {
        try {
            return (json.writeValueAsString(event) + "\n").getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a trace event as JSON", e);
        }
    }

    private void append(byte[] line) {
        try {
            out.write(line);
            writtenBytes += line.length;
        } catch (IOException e) {
            stop(e);
        }
    }

    private void stop(IOException cause) {
        LOGGER.warn("recording of decisions stopped: failed to write {}", path, cause);
        close();
    }
}
