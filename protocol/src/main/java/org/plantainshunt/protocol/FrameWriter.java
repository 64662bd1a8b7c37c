package org.plantainshunt.protocol;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import org.plantainshunt.protocol.wire.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the frames of a connection to its channel while the channel is writable.
 *
 * <p>Control frames, which are those outside streams, have priority. Streams are served round-robin, and new streams
 * alternate with started ones: the next new stream waits for at most one turn of a started stream, however many there
 * are, so that a small answer overtakes large ones. Frames are queued here and not in the channel, which never holds
 * much more than its high-water mark. Confined to the event loop.
 */
final class FrameWriter {
    /**
     * Maximum number of queued control frames. Bounds the memory used for a peer that sends requests without reading
     * the replies; allows four frames for each call that may be open.
     */
    static final int MAXIMUM_WAITING_CONTROL_FRAMES = 4 * Connection.MAXIMUM_OPEN_CALLS;

    private static final Logger LOGGER = LoggerFactory.getLogger(FrameWriter.class);

    private final Channel channel;
    private final ControlTraffic traffic;
    private final Deque<Frame> control = new ArrayDeque<>();
    private final Deque<OutgoingStream> newStreams = new ArrayDeque<>();
    private final Deque<OutgoingStream> startedStreams = new ArrayDeque<>();
    private boolean newStreamNext = true;
    private boolean scheduled;
    private boolean closing;
    private boolean closed;

    FrameWriter(Channel channel, ControlTraffic traffic) {
        this.traffic = traffic;
        this.channel = channel;
    }

    /** Queues a frame ahead of all streams. A frame over the size limit is dropped and logged. */
    void sendControl(Frame frame) {
        if (closed) {
            return;
        }
        if (!Frames.fits(frame)) {
            LOGGER.error(
                    "frame {} of {} bytes dropped: over the size limit",
                    frame.getContentCase(),
                    frame.getSerializedSize());
            return;
        }
        if (control.size() >= MAXIMUM_WAITING_CONTROL_FRAMES) {
            LOGGER.warn(
                    "connection with {} closed: too many control frames queued, the peer does not read",
                    channel.remoteAddress());
            close();
            channel.close();
            return;
        }
        control.add(frame);
        schedule();
    }

    /** Queues a stream. */
    void add(OutgoingStream stream) {
        if (!closed) {
            newStreams.add(stream);
            schedule();
        }
    }

    /** Removes a stream; nothing more of it is sent. */
    void remove(OutgoingStream stream) {
        if (!newStreams.remove(stream)) {
            startedStreams.remove(stream);
        }
    }

    /** Returns whether frames are waiting to be sent. */
    boolean isWaiting() {
        return !channel.isWritable() || !isEmpty();
    }

    /** Schedules a write as a separate event loop task, so that frames queued until then share one system call. */
    void schedule() {
        if (!scheduled && !closed) {
            scheduled = true;
            channel.eventLoop().execute(this::write);
        }
    }

    /** Closes the connection once all queued frames, including those added until then, have been written. */
    void closeWhenSent() {
        closing = true;
        schedule();
    }

    /** Drops all queued frames and streams, and accepts no more. */
    void close() {
        closed = true;
        control.clear();
        newStreams.clear();
        startedStreams.clear();
    }

    /**
     * Writes queued frames, including those added during the loop, until the channel is no longer writable. When a
     * flush makes it writable again, the next run is scheduled.
     */
    private void write() {
        boolean completed = false;
        try {
            boolean more = true;
            while (more && channel.isActive() && channel.isWritable()) {
                more = writeNext();
            }
            completed = true;
        } finally {
            scheduled = false;
            if (!completed) {
                channel.close();
            }
        }
        channel.flush();
        if (closing && !closed && isEmpty()) {
            closed = true;
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(sent -> endOutput());
        }
    }

    private boolean isEmpty() {
        return control.isEmpty() && newStreams.isEmpty() && startedStreams.isEmpty();
    }

    /**
     * Shuts down the output, after which the peer closes the connection. Closing it on this side could make the kernel
     * reset it before the peer has read everything.
     */
    private void endOutput() {
        if (channel instanceof DuplexChannel socket) {
            socket.shutdownOutput();
        } else {
            channel.close();
        }
    }

    private boolean writeNext() {
        Frame frame = control.poll();
        if (frame != null) {
            write(frame);
            return true;
        }
        OutgoingStream stream = nextStream();
        if (stream == null) {
            return false;
        }
        if (stream.writeTurn(this::write)) {
            startedStreams.add(stream);
        }
        return true;
    }

    private OutgoingStream nextStream() {
        boolean takeNew = startedStreams.isEmpty() || newStreamNext && !newStreams.isEmpty();
        newStreamNext = !takeNew;
        return takeNew ? newStreams.poll() : startedStreams.poll();
    }

    private void write(Frame frame) {
        traffic.sent(frame);
        channel.write(Frames.encode(channel.alloc(), frame), channel.voidPromise());
    }
}
