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
 * Hands the frames of a connection to its socket while the socket takes more.
 *
 * <p>Control frames go first. The streams take turns; a new stream waits for one turn of the streams under way,
 * however many there are, so that a small answer overtakes large ones. Frames wait here and not in the channel, which
 * never holds much more than its high-water mark. Confined to the event loop.
 */
final class FrameWriter {
    /**
     * Most control frames that may wait for the socket. Bounds the memory that a peer takes by sending requests without
     * reading the replies; four for each call that may be open.
     */
    static final int MAXIMUM_WAITING_CONTROL_FRAMES = 4 * Connection.MAXIMUM_OPEN_CALLS;

    private static final Logger LOGGER = LoggerFactory.getLogger(FrameWriter.class);

    private final Channel channel;
    private final ControlTraffic traffic;
    private final Deque<Frame> control = new ArrayDeque<>();
    private final Deque<OutgoingStream> fresh = new ArrayDeque<>();
    private final Deque<OutgoingStream> underWay = new ArrayDeque<>();
    private boolean freshNext = true;
    private boolean scheduled;
    private boolean finishing;
    private boolean closed;

    FrameWriter(Channel channel, ControlTraffic traffic) {
        this.traffic = traffic;
        this.channel = channel;
    }

    /** Sends a frame ahead of all streams. A frame over the size limit is dropped with a log line. */
    void sendControl(Frame frame) {
        if (closed) {
            return;
        }
        if (!Frames.fits(frame)) {
            LOGGER.error("frame {} of {} bytes dropped", frame.getContentCase(), frame.getSerializedSize());
            return;
        }
        if (control.size() >= MAXIMUM_WAITING_CONTROL_FRAMES) {
            LOGGER.warn("connection with {} closed: it does not read what is sent", channel.remoteAddress());
            close();
            channel.close();
            return;
        }
        control.add(frame);
        schedule();
    }

    /** Adds a stream. */
    void add(OutgoingStream stream) {
        if (!closed) {
            fresh.add(stream);
            schedule();
        }
    }

    /** Removes a stream; nothing more of it is sent. */
    void withdraw(OutgoingStream stream) {
        if (!fresh.remove(stream)) {
            underWay.remove(stream);
        }
    }

    /** Returns whether frames are waiting for the socket. */
    boolean isWaiting() {
        return !channel.isWritable() || !isEmpty();
    }

    /** Writes on the next turn of the event loop, so that frames of the same turn share a system call. */
    void schedule() {
        if (!scheduled && !closed) {
            scheduled = true;
            channel.eventLoop().execute(this::write);
        }
    }

    /** Ends the connection when all that waits now or is added meanwhile has been handed to the socket. */
    void finish() {
        finishing = true;
        schedule();
    }

    /** Drops everything that is waiting. */
    void close() {
        closed = true;
        control.clear();
        fresh.clear();
        underWay.clear();
    }

    /** Frames added meanwhile are seen by the loop; a flush that frees the channel schedules the next run. */
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
        if (finishing && !closed && isEmpty()) {
            closed = true;
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(sent -> endOutput());
        }
    }

    private boolean isEmpty() {
        return control.isEmpty() && fresh.isEmpty() && underWay.isEmpty();
    }

    /**
     * Tells the peer that nothing more follows; the peer then closes the connection. Closing it here could make the
     * kernel reset it while the peer has not read everything.
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
            underWay.add(stream);
        }
        return true;
    }

    private OutgoingStream nextStream() {
        boolean takeFresh = underWay.isEmpty() || freshNext && !fresh.isEmpty();
        freshNext = !takeFresh;
        return takeFresh ? fresh.poll() : underWay.poll();
    }

    private void write(Frame frame) {
        traffic.sent(frame);
        channel.write(Frames.encode(channel.alloc(), frame), channel.voidPromise());
    }
}
