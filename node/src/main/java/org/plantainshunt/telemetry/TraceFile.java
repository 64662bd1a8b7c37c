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
 * The file with the trace of decisions: one JSON object in each line.
 *
 * <p>An existing file is replaced. The file never grows over its bound; when the next line would not fit, a last line
 * says so and recording stops. It also stops at the first write that fails. Confined to the telemetry duty's thread,
 * except {@link #open} and {@link #node}.
 */
public final class TraceFile implements AutoCloseable {
    /** The bound on the size of the file of a node, in bytes. */
    public static final long LARGEST_FILE_BYTES = 64L * 1024 * 1024;

    private static final Logger LOGGER = LoggerFactory.getLogger(TraceFile.class);
    /** Kept for the last line, whose length is below this. */
    private static final int LAST_LINE_BYTES = 128;

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
     * @param limitBytes the bound on the size of the file, in bytes
     * @throws IOException if the file cannot be written
     */
    public TraceFile(Path path, String node, long limitBytes) throws IOException {
        this.path = path;
        this.node = node;
        this.limitBytes = limitBytes;
        this.out = new BufferedOutputStream(Files.newOutputStream(path));
        ObjectMapper mapper = new ObjectMapper().addMixIn(TraceEvent.class, Named.class);
        TraceEvent.TYPES.forEach((name, type) -> mapper.registerSubtypes(new NamedType(type, name)));
        this.json = mapper.writer();
    }

    /** Puts the name of the event into each line. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
    private interface Named {}

    /** Returns the name of the node. */
    String node() {
        return node;
    }

    /** Returns whether further lines are written. */
    boolean open() {
        return open;
    }

    /** Writes a line, or ends the recording if there is no room for it. */
    void write(TraceEvent event) {
        if (!open) {
            return;
        }
        byte[] line = line(event);
        if (writtenBytes + line.length > limitBytes - LAST_LINE_BYTES) {
            LOGGER.warn("recording of decisions stops because {} reached {} bytes", path, limitBytes);
            append(line(new TraceEvent.Full(limitBytes)));
            close();
            return;
        }
        append(line);
    }

    /** Hands the lines written so far to the operating system. */
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
            LOGGER.warn("{} did not close", path, e);
        }
    }

    private byte[] line(TraceEvent event) {
        try {
            return (json.writeValueAsString(event) + "\n").getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a trace event has no JSON form", e);
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
        LOGGER.warn("recording of decisions stops because {} cannot be written", path, cause);
        close();
    }
}
