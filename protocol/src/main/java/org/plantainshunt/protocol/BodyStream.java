package org.plantainshunt.protocol;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import java.util.zip.CRC32C;

import com.google.protobuf.UnsafeByteOperations;
import org.plantainshunt.protocol.wire.Chunk;
import org.plantainshunt.protocol.wire.Frame;

/**
 * Sends a call or an answer: a start frame, the chunks of the body, and an end frame with the CRC32C.
 *
 * <p>A body of at most one chunk is sent in a single turn. Confined to the event loop.
 */
final class BodyStream implements OutgoingStream {
    private final long callNumber;
    private final Supplier<Optional<Frame>> start;
    private final byte[] body;
    private final IntFunction<Frame> end;
    private final CRC32C checksum = new CRC32C();
    private boolean started;
    private int sent;

    /**
     * Creates a stream.
     *
     * @param start creates the start frame on the first turn; if it returns empty, nothing is sent
     * @param end creates the end frame from the checksum
     */
    BodyStream(long callNumber, Supplier<Optional<Frame>> start, byte[] body, IntFunction<Frame> end) {
        this.callNumber = callNumber;
        this.start = start;
        this.body = body;
        this.end = end;
    }

    /** Returns whether the start frame has been written to the channel. */
    boolean started() {
        return started;
    }

    @Override
    public boolean writeTurn(Consumer<Frame> output) {
        if (!started) {
            Optional<Frame> frame = start.get();
            if (frame.isEmpty()) {
                return false;
            }
            started = true;
            output.accept(frame.get());
        }
        if (sent < body.length) {
            writeChunk(output);
        }
        if (sent < body.length) {
            return true;
        }
        output.accept(end.apply((int) checksum.getValue()));
        return false;
    }

    private void writeChunk(Consumer<Frame> output) {
        int length = Math.min(Frames.MAXIMUM_CHUNK_BYTES, body.length - sent);
        checksum.update(body, sent, length);
        Chunk.Builder chunk =
                Chunk.newBuilder().setCall(callNumber).setData(UnsafeByteOperations.unsafeWrap(body, sent, length));
        sent += length;
        output.accept(Frame.newBuilder().setChunk(chunk).build());
    }
}
