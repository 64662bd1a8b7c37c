package org.plantainshunt.protocol;

import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import org.plantainshunt.protocol.wire.Frame;
import org.plantainshunt.result.ResultCode;

/**
 * Splits the byte stream of a connection into frames.
 *
 * <p>The length of a frame is checked before waiting for its content. After an invalid frame all further bytes are
 * dropped, because the start of the next frame is unknown. Confined to the event loop.
 */
final class FrameDecoder extends ByteToMessageDecoder {
    private int limit = Frames.MAXIMUM_HANDSHAKE_BYTES;
    private boolean failed;

    /** Raises the size limit to that of authenticated peers. */
    void peerAuthenticated() {
        limit = Frames.MAXIMUM_BYTES;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws ProtocolException {
        if (failed) {
            input.skipBytes(input.readableBytes());
            return;
        }
        if (input.readableBytes() < Frames.LENGTH_BYTES) {
            return;
        }
        int length = input.getInt(input.readerIndex());
        if (length <= 0 || length > limit) {
            throw fail(input, "a frame of " + Integer.toUnsignedString(length) + " bytes; allowed are 1 to " + limit);
        }
        if (input.readableBytes() < Frames.LENGTH_BYTES + length) {
            return;
        }
        input.skipBytes(Frames.LENGTH_BYTES);
        output.add(parse(input, length));
    }

    private Frame parse(ByteBuf input, int length) throws ProtocolException {
        try {
            Frame frame = Frame.parseFrom(input.nioBuffer(input.readerIndex(), length));
            input.skipBytes(length);
            return frame;
        } catch (InvalidProtocolBufferException exception) {
            throw fail(input, "a frame that cannot be parsed: " + exception.getMessage());
        }
    }

    private ProtocolException fail(ByteBuf input, String reason) {
        failed = true;
        input.skipBytes(input.readableBytes());
        return new ProtocolException(ResultCode.PROTOCOL_FRAME_INVALID, "the peer sent " + reason);
    }
}
