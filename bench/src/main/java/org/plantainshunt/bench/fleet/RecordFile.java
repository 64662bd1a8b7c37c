package org.plantainshunt.bench.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.plantainshunt.standins.RequestRecord;

/** Reads the record file of a backend server stand-in, which has a line for each state change of a request. */
final class RecordFile {
    private static final ObjectMapper JSON = new ObjectMapper();

    private RecordFile() {}

    /**
     * Returns the last record of each request in the file; none if there is no file.
     *
     * @throws IOException if the file cannot be read, or a line other than the last one is not a record
     */
    static Collection<RequestRecord> read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return List.of();
        }
        Map<String, RequestRecord> last = new LinkedHashMap<>();
        try (BufferedReader reader = Files.newBufferedReader(file)) {
            String line = reader.readLine();
            while (line != null) {
                String next = reader.readLine();
                put(last, line, next == null);
                line = next;
            }
        }
        return last.values();
    }

    /** Ignores a truncated last line, because the server may still be writing it. */
    private static void put(Map<String, RequestRecord> last, String line, boolean lastLine) throws IOException {
        try {
            RequestRecord request = JSON.readValue(line, RequestRecord.class);
            last.put(request.process() + "." + request.sequence(), request);
        } catch (JsonProcessingException failure) {
            if (!lastLine) {
                throw failure;
            }
        }
    }
}
