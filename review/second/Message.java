package secondreview;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * An HTTP/1.1 message with its whole body. Immutable, provided that its body is not modified.
 *
 * @param startLine the request line or the status line
 * @param headers the header fields, by their names in lower case
 * @param body the body
 */
record Message(String startLine, Map<String, String> headers, byte[] body) {
    /** Reads a message whose body has a length or is chunked; returns null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        return head == null ? null : new Message(head.startLine, head.headers, body(in, head.headers));
    }

    /** Reads a message up to its body; returns null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        String startLine = line(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            if (colon < 0) {
                throw new IOException("not a header field: " + field.substring(0, Math.min(40, field.length())));
            }
            headers.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).trim());
        }
        return new Message(startLine, headers, new byte[0]);
    }

    private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
        if (!"chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            return exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new EOFException("a chunked body broke off");
            }
            int length = Integer.parseInt(size.trim(), 16);
            body.write(exactly(in, length));
            line(in);
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("a body broke off after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String method() {
        return startLine.split(" ")[0];
    }

    /** Returns the path and query of a request. */
    String target() {
        return startLine.split(" ")[1];
    }

    /** Returns the status of a response. */
    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    /** Writes a message; a response or request with a body states its length. */
    static void write(OutputStream out, String startLine, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        whole.write(body);
        out.write(whole.toByteArray());
        out.flush();
    }
}
