package org.plantainshunt.protocol;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import org.plantainshunt.protocol.wire.Frame;

/** Encoding and size limits of the frames on a connection. */
final class Frames {
    /** Version of the inner protocol; nodes with different versions refuse to connect. */
    static final int VERSION = 1;

    /** Size of the length prefix of each frame, in bytes. */
    static final int LENGTH_BYTES = 4;

    /** Maximum size of a frame without its length prefix, in bytes. */
    static final int MAXIMUM_BYTES = 64 << 10;

    /** Maximum size of a frame from a peer that is not authenticated yet, in bytes; fits all handshake frames. */
    static final int MAXIMUM_HANDSHAKE_BYTES = 1 << 10;

    /** Maximum size of the part of a body in one frame, in bytes. */
    static final int MAXIMUM_CHUNK_BYTES = 16 << 10;

    private Frames() {}

    /** Returns whether a frame is small enough to be sent. */
    static boolean fits(Frame frame) {
        return frame.getSerializedSize() <= MAXIMUM_BYTES;
    }

    /** Encodes a frame with its length prefix. The caller releases the buffer. */
    static ByteBuf encode(ByteBufAllocator allocator, Frame frame) {
        int size = frame.getSerializedSize();
        ByteBuf buffer = allocator.ioBuffer(LENGTH_BYTES + size);
        buffer.writeInt(size);
        CodedOutputStream output = CodedOutputStream.newInstance(buffer.nioBuffer(LENGTH_BYTES, size));
        try {
            frame.writeTo(output);
            output.flush();
        } catch (IOException impossible) {
            buffer.release();
            throw new UncheckedIOException("a buffer of the exact size was too small", impossible);
        }
        return buffer.writerIndex(LENGTH_BYTES + size);
    }
}
