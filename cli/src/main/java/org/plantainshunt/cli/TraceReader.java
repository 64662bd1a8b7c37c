package org.plantainshunt.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPInputStream;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import org.plantainshunt.replay.InvalidTraceException;
import org.plantainshunt.replay.Trace;
import org.plantainshunt.replay.TraceEvent;

/** Reads the decision trace of a node from a plain or gzip-compressed file. */
final class TraceReader {
    private static final String COMPRESSED_SUFFIX = ".gz";
    private static final ObjectReader JSON = mapper().readerFor(TraceEvent.class);

    private TraceReader() {}

    /** Makes Jackson select the type of an event by its property "event". */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
    private interface EventTypeMixIn {}

    /** Returns an object mapper for the lines of a trace. */
    static ObjectMapper mapper() {
        ObjectMapper mapper = new ObjectMapper().addMixIn(TraceEvent.class, EventTypeMixIn.class);
        TraceEvent.TYPES.forEach((name, type) -> mapper.registerSubtypes(new NamedType(type, name)));
        return mapper;
    }

    /**
     * Reads a trace.
     *
     * @throws CommandException if the file cannot be read or is not a valid trace
     */
    static Trace read(String file) throws CommandException {
        try (BufferedReader lines = open(file)) {
            return Trace.of(events(lines));
        } catch (NoSuchFileException e) {
            throw new CommandException(ExitCode.UNREADABLE, "there is no file " + file);
        } catch (IOException e) {
            throw new CommandException(ExitCode.UNREADABLE, "cannot read " + file + ": " + e.getMessage());
        } catch (InvalidTraceException e) {
            throw new CommandException(ExitCode.CHECK_FAILED, file + " is not a valid trace: " + e.getMessage());
        }
    }

    private static BufferedReader open(String file) throws IOException {
        InputStream bytes = Files.newInputStream(Path.of(file));
        try {
            InputStream plain = file.endsWith(COMPRESSED_SUFFIX) ? new GZIPInputStream(bytes) : bytes;
            return new BufferedReader(new InputStreamReader(plain, StandardCharsets.UTF_8));
        } catch (IOException e) {
            bytes.close();
            throw e;
        }
    }

    /** Skips a malformed last line, because a node that is killed may leave an incomplete one. */
    private static List<TraceEvent> events(BufferedReader lines) throws IOException, InvalidTraceException {
        List<TraceEvent> events = new ArrayList<>();
        String line = lines.readLine();
        for (int number = 1; line != null; number++) {
            String next = lines.readLine();
            try {
                events.add(JSON.readValue(line));
            } catch (JsonProcessingException e) {
                if (next != null || number == 1) {
                    throw new InvalidTraceException("line " + number + ": " + e.getOriginalMessage());
                }
            }
            line = next;
        }
        return events;
    }
}
