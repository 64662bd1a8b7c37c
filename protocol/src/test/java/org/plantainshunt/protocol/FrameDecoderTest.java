package org.plantainshunt.protocol;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.plantainshunt.protocol.wire.Chunk;
import org.plantainshunt.protocol.wire.Frame;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests that frames are decoded however TCP splits and joins their bytes. */
class FrameDecoderTest {
    private static final int LONGEST_PIECE = 5_000;

    @Property(tries = 200)
    void framesSurviveEverySplitOfTheBytes(@ForAll long seed) {
        Random random = new Random(seed);
        List<Frame> frames = new ArrayList<>();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int i = 0; i < random.nextInt(1, 20); i++) {
            byte[] data = new byte[random.nextInt(Frames.MAXIMUM_CHUNK_BYTES)];
            random.nextBytes(data);
            Chunk.Builder chunk = Chunk.newBuilder().setCall(i).setData(ByteString.copyFrom(data));
            frames.add(Frame.newBuilder().setChunk(chunk).build());
            bytes.writeBytes(RawPeer.encode(frames.get(i)));
        }
        assertEquals(frames, decodeInPieces(bytes.toByteArray(), random));
    }

    private static List<Frame> decodeInPieces(byte[] bytes, Random random) {
        FrameDecoder decoder = new FrameDecoder();
        decoder.peerAuthenticated();
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        int offset = 0;
        while (offset < bytes.length) {
            int length = Math.min(bytes.length - offset, random.nextInt(1, LONGEST_PIECE));
            channel.writeInbound(Unpooled.copiedBuffer(bytes, offset, length));
            offset += length;
        }
        List<Frame> frames = new ArrayList<>();
        Frame frame = channel.readInbound();
        while (frame != null) {
            frames.add(frame);
            frame = channel.readInbound();
        }
        return frames;
    }
}
