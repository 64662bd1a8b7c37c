package org.plantainshunt.standins;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32C;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * The response body of a backend server stand-in. Receivers can verify that it is complete, undamaged and belongs to
 * their request.
 *
 * <p>The first line is a JSON header with the ids of the request and the length and CRC32C of the filler bytes that
 * follow.
 */
public final class ResponseBody {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int FILLER_MULTIPLIER = 31;

    private ResponseBody() {}

    /**
     * Writes a body.
     *
     * @param requestId the request id that the backend server received
     * @param workId the work id that the backend server received
     * @param kind the kind of request
     * @param server the name of the backend server
     * @param size number of filler bytes
     * @return the header line and the filler
     */
    public static byte[] write(String requestId, String workId, String kind, String server, int size) {
        byte[] filler = filler(workId, size);
        byte[] header = header(new Header(requestId, workId, kind, server, size, checksum(filler, 0)));
        byte[] body = new byte[header.length + size];
        System.arraycopy(header, 0, body, 0, header.length);
        System.arraycopy(filler, 0, body, header.length, size);
        return body;
    }

    /**
     * Verifies a response body.
     *
     * @param body the bytes received
     * @param workId the work id that was sent
     * @return a description of the fault, or empty if the body is intact and belongs to this work id
     */
    public static Optional<String> fault(byte[] body, String workId) {
        int end = 0;
        while (end < body.length && body[end] != '\n') {
            end++;
        }
        if (end == body.length) {
            return Optional.of("the header line is not complete");
        }
        Header header;
        try {
            header = JSON.readValue(body, 0, end, Header.class);
        } catch (IOException failure) {
            return Optional.of("the header line is not JSON");
        }
        int start = end + 1;
        if (body.length - start != header.length()) {
            return Optional.of("length is " + (body.length - start) + " in place of " + header.length());
        }
        if (checksum(body, start) != header.crc32c()) {
            return Optional.of("the checksum differs");
        }
        if (!header.workId().equals(workId)) {
            return Optional.of("the answer belongs to " + header.workId() + " in place of " + workId);
        }
        return Optional.empty();
    }

    private static byte[] header(Header header) {
        try {
            return (JSON.writeValueAsString(header) + "\n").getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("cannot write the response header line as JSON", failure);
        }
    }

    private static byte[] filler(String workId, int size) {
        byte[] filler = new byte[size];
        int value = workId.hashCode();
        for (int index = 0; index < size; index++) {
            value = value * FILLER_MULTIPLIER + index;
            filler[index] = (byte) (value >>> Byte.SIZE);
        }
        return filler;
    }

    private static long checksum(byte[] bytes, int start) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, start, bytes.length - start);
        return checksum.getValue();
    }

    /** The header line. */
    record Header(String requestId, String workId, String kind, String server, int length, long crc32c) {}
}
