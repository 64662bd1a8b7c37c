package review.standins;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The head of an HTTP/1.1 message, and the readers for heads and bodies. */
public final class Message {
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    private final String firstLine;
    private final List<String[]> headers;

    private Message(String firstLine, List<String[]> headers) {
        this.firstLine = firstLine;
        this.headers = headers;
    }

    /** Reads a head; returns null if the connection ends before its first byte. */
    public static Message readHead(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = input.read();
            if (next < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("the head ended after " + bytes.size() + " bytes");
            }
            bytes.write(next);
            boolean expected = next == (matched % 2 == 0 ? '\r' : '\n');
            matched = expected ? matched + 1 : next == '\r' ? 1 : 0;
            if (bytes.size() > MAX_HEAD_BYTES) {
                throw new IOException("the head is too long");
            }
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        List<String[]> headers = new ArrayList<>();
        for (int index = 1; index < lines.length; index++) {
            int colon = lines[index].indexOf(':');
            headers.add(new String[] {
                lines[index].substring(0, colon), lines[index].substring(colon + 1).trim()
            });
        }
        return new Message(lines[0], headers);
    }

    /** Reads exactly so many bytes. */
    public static byte[] readBody(InputStream input, long length) throws IOException {
        byte[] body = input.readNBytes((int) length);
        if (body.length < length) {
            throw new EOFException("the body ended after " + body.length + " of " + length + " bytes");
        }
        return body;
    }

    public String firstLine() {
        return firstLine;
    }

    public String header(String name) {
        for (String[] header : headers) {
            if (header[0].equalsIgnoreCase(name)) {
                return header[1];
            }
        }
        return "";
    }

    public long contentLength() {
        String length = header("Content-Length");
        return length.isEmpty() ? 0 : Long.parseLong(length);
    }

    /** Returns the status of a response. */
    public int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }
}
