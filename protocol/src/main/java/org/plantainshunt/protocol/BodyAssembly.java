package org.plantainshunt.protocol;

import java.util.Arrays;
import java.util.zip.CRC32C;

import com.google.protobuf.ByteString;
import org.plantainshunt.result.ResultCode;

/**
 * Assembles a body from the chunks received.
 *
 * <p>The buffer starts with at most one chunk and grows with the bytes received, not with the announced length, so that
 * a peer cannot make this node allocate a large body without sending it. Confined to the event loop.
 */
final class BodyAssembly {
    private final int length;
    private byte[] bytes;
    private int received;

    /** Creates an assembly for a body of the given length, which the caller has checked against its limit. */
    BodyAssembly(int length) {
        this.length = length;
        this.bytes = new byte[Math.min(length, Frames.MAXIMUM_CHUNK_BYTES)];
    }

    /** Returns the number of bytes received so far. */
    int received() {
        return received;
    }

    /** Returns whether the whole body has been received. */
    boolean isComplete() {
        return received == length;
    }

    /** Appends a chunk; fails if the body becomes longer than announced. */
    void append(ByteString chunk) throws ProtocolException {
        int size = chunk.size();
        if (size > length - received) {
            throw new ProtocolException(
                    ResultCode.PROTOCOL_FRAME_INVALID, "the peer sent more body bytes than the announced " + length);
        }
        if (received + size > bytes.length) {
            int doubled = (int) Math.min(length, 2L * bytes.length);
            bytes = Arrays.copyOf(bytes, Math.max(received + size, doubled));
        }
        chunk.copyTo(bytes, received);
        received += size;
    }

    /** Returns the whole body; fails if it is shorter than announced or its CRC32C differs. */
    byte[] finish(int expectedChecksum) throws ProtocolException {
        byte[] body = finish();
        CRC32C checksum = new CRC32C();
        checksum.update(body, 0, body.length);
        if ((int) checksum.getValue() != expectedChecksum) {
            throw new ProtocolException(
                    ResultCode.PROTOCOL_FRAME_INVALID, "the CRC32C of a body of " + length + " bytes does not match");
        }
        return body;
    }

    /** Returns the whole body without verifying a checksum; fails if it is shorter than announced. */
    byte[] finish() throws ProtocolException {
        if (!isComplete()) {
            throw new ProtocolException(
                    ResultCode.PROTOCOL_FRAME_INVALID,
                    "the peer ended a body after " + received + " of " + length + " bytes");
        }
        return bytes;
    }
}
