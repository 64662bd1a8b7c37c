package org.plantainshunt.protocol;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.embedded.EmbeddedChannel;
import org.plantainshunt.protocol.wire.CallEnd;
import org.plantainshunt.protocol.wire.Cancel;
import org.plantainshunt.protocol.wire.Chunk;
import org.plantainshunt.protocol.wire.Frame;

/** A connection on an embedded channel, without a socket, that a test can make unwritable. */
final class EmbeddedConnection {
    final RecordingHandler handler = new RecordingHandler();
    final EmbeddedChannel channel = new EmbeddedChannel();
    final Connection connection;
    private int framesUntilBlocked = Integer.MAX_VALUE;

    /**
     * Creates the connection.
     *
     * @param firstCallNumber 1 on the connecting side, 2 on the accepting side
     */
    EmbeddedConnection(int firstCallNumber) {
        channel.config()
                .setOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(Frames.MAXIMUM_CHUNK_BYTES, 2 * Frames.MAXIMUM_CHUNK_BYTES));
        InnerSettings settings = RecordingHandler.settings("vm-own", RecordingHandler.SECRET);
        EndpointContext context = new EndpointContext(settings, handler, handler);
        HandshakeInfo handshakeInfo = new HandshakeInfo("vm-peer", 5, false, 0);
        connection = new Connection(
                channel, context, handshakeInfo, new TransitDelay(0, System.nanoTime()), firstCallNumber);
        channel.pipeline().addLast(new WriteBlocker(), connection);
        context.connections().opened(connection, handshakeInfo);
    }

    /** Makes the channel unwritable after the given number of further frames. */
    void blockAfter(int frames) {
        framesUntilBlocked = frames;
        setWritable(frames > 0);
    }

    void unblock() {
        blockAfter(Integer.MAX_VALUE);
    }

    void receive(Frame... frames) {
        for (Frame frame : frames) {
            channel.writeInbound(frame);
        }
    }

    static Frame chunk(long number, int length) {
        Chunk.Builder chunk = Chunk.newBuilder().setCall(number).setData(ByteString.copyFrom(new byte[length]));
        return Frame.newBuilder().setChunk(chunk).build();
    }

    static Frame callEnd(long number, int checksum) {
        CallEnd.Builder end = CallEnd.newBuilder().setCall(number).setCrc32C(checksum);
        return Frame.newBuilder().setCallEnd(end).build();
    }

    static Frame cancel(long number) {
        return Frame.newBuilder().setCancel(Cancel.newBuilder().setCall(number)).build();
    }

    /** Returns the frames sent since the last call. */
    List<Frame> sent() {
        channel.runPendingTasks();
        List<Frame> frames = new ArrayList<>();
        ByteBuf buffer = channel.readOutbound();
        while (buffer != null) {
            frames.add(decode(buffer));
            buffer = channel.readOutbound();
        }
        return frames;
    }

    void disconnect() {
        channel.close();
        channel.runPendingTasks();
    }

    private static Frame decode(ByteBuf buffer) {
        try {
            return Frame.parseFrom(buffer.skipBytes(Frames.LENGTH_BYTES).nioBuffer());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        } finally {
            buffer.release();
        }
    }

    private void setWritable(boolean writable) {
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, writable);
    }

    private final class WriteBlocker extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            context.write(message, promise);
            framesUntilBlocked--;
            if (framesUntilBlocked == 0) {
                setWritable(false);
            }
        }
    }
}
