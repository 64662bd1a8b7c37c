package org.plantainshunt.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;

/**
 * Checks the head of an HTTP response as it was received.
 *
 * <p>Netty's decoder is lenient: it reads a status of any digits, and the part of a field's name before a blank as the
 * whole name, so that a malformed line may change the framing of the body. A head that passes this check has only one
 * meaning. Stateless.
 */
final class AnswerHead {
    /** More than the decoders accept for a status line and header fields. */
    static final int MAX_BYTES = 16 << 10;

    private static final byte[] VERSION = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final boolean[] TOKEN = tokenCharacters();
    /** The length of a version, a blank and a status. */
    private static final int STATUS_END = 12;

    private AnswerHead() {}

    /** Returns the index after the empty line that ends a head, or -1 if the buffer has none yet. */
    static int end(ByteBuf buffer) {
        int from = buffer.readerIndex();
        while (true) {
            int lineFeed = buffer.indexOf(from, buffer.writerIndex(), (byte) '\n');
            if (lineFeed < 0) {
                return -1;
            }
            int next = lineFeed + 1;
            if (next < buffer.writerIndex() && buffer.getByte(next) == '\r') {
                next++;
            }
            if (next < buffer.writerIndex() && buffer.getByte(next) == '\n') {
                return next + 1;
            }
            from = lineFeed + 1;
        }
    }

    /** Returns what is wrong with a complete head that begins at the reader index, or empty if it is valid. */
    static Optional<String> violation(ByteBuf buffer, int end) {
        int start = buffer.readerIndex();
        boolean isStatusLine = true;
        while (true) {
            int lineFeed = buffer.indexOf(start, end, (byte) '\n');
            int lineEnd = lineFeed > start && buffer.getByte(lineFeed - 1) == '\r' ? lineFeed - 1 : lineFeed;
            if (isStatusLine && !isStatusLine(buffer, start, lineEnd)) {
                return Optional.of("the status line is malformed");
            }
            if (!isStatusLine && lineEnd == start) {
                return Optional.empty();
            }
            if (!isStatusLine && !isField(buffer, start, lineEnd)) {
                return Optional.of("a header field is malformed");
            }
            isStatusLine = false;
            start = lineFeed + 1;
        }
    }

    /** Returns whether the valid head that begins at the reader index is that of an informational response. */
    static boolean isInformational(ByteBuf buffer) {
        return buffer.getByte(buffer.readerIndex() + VERSION.length + 2) == '1';
    }

    private static boolean isStatusLine(ByteBuf buffer, int start, int end) {
        if (end - start <= STATUS_END) {
            return false;
        }
        for (int index = 0; index < VERSION.length; index++) {
            if (buffer.getByte(start + index) != VERSION[index]) {
                return false;
            }
        }
        int minor = start + VERSION.length;
        int status = minor + 2;
        return isBetween(buffer, minor, '0', '1')
                && buffer.getByte(minor + 1) == ' '
                && isBetween(buffer, status, '1', '5')
                && isBetween(buffer, status + 1, '0', '9')
                && isBetween(buffer, status + 2, '0', '9')
                && buffer.getByte(start + STATUS_END) == ' '
                && isText(buffer, start + STATUS_END, end);
    }

    private static boolean isField(ByteBuf buffer, int start, int end) {
        int colon = buffer.indexOf(start, end, (byte) ':');
        if (colon <= start) {
            return false;
        }
        for (int index = start; index < colon; index++) {
            if (!TOKEN[buffer.getUnsignedByte(index)]) {
                return false;
            }
        }
        return isText(buffer, colon + 1, end);
    }

    /** Returns whether there are no control characters except tabs. */
    private static boolean isText(ByteBuf buffer, int start, int end) {
        for (int index = start; index < end; index++) {
            int character = buffer.getUnsignedByte(index);
            if (character < ' ' && character != '\t' || character == 0x7f) {
                return false;
            }
        }
        return true;
    }

    private static boolean isBetween(ByteBuf buffer, int index, char first, char last) {
        byte character = buffer.getByte(index);
        return character >= first && character <= last;
    }

    private static boolean[] tokenCharacters() {
        boolean[] allowed = new boolean[256];
        for (char character = '0'; character <= 'z'; character++) {
            allowed[character] = Character.isLetterOrDigit(character);
        }
        TOKEN_SYMBOLS.chars().forEach(character -> allowed[character] = true);
        return allowed;
    }
}
