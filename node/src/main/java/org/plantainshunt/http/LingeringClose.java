package org.plantainshunt.http;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a connection in steps: writes what is queued, ends the output, drops what still arrives, and closes the socket
 * when the peer has closed its side.
 *
 * <p>A socket that is closed with unread bytes, or that gets more bytes later, resets the connection, and the kernel
 * then discards the written bytes that the peer has not received. Each step is bounded in time by its progress.
 * Confined to the event loop of the connection.
 */
final class LingeringClose extends ChannelInboundHandlerAdapter {
    /** How long a peer may read nothing before the connection is closed with bytes unsent. */
    private static final long STALLED_NANOSECONDS = Duration.ofSeconds(60).toNanos();
    /** How long a peer that has been sent everything may stay quiet without closing its side. */
    private static final long QUIET_NANOSECONDS = Duration.ofSeconds(2).toNanos();
    /** How long a peer may keep sending after the output has ended. */
    private static final long SENDING_NANOSECONDS = Duration.ofSeconds(30).toNanos();

    private static final long CHECK_MILLISECONDS = 250;

    private final Channel channel;
    private boolean outputEnded;
    private long outputEndedAt;
    private long lastProgress;
    private long lastUnsent;

    private LingeringClose(Channel channel) {
        this.channel = channel;
    }

    /** Starts to close an active connection on its event loop; what arrives from now on is dropped. Idempotent. */
    static void begin(Channel channel) {
        if (!channel.isActive() || isClosing(channel)) {
            return;
        }
        LingeringClose closing = new LingeringClose(channel);
        channel.pipeline().addFirst(closing);
        closing.lastProgress = System.nanoTime();
        channel.config().setAutoRead(true);
        channel.read();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> closing.endOutput());
        closing.scheduleCheck();
    }

    /** Returns whether a connection is being closed. */
    static boolean isClosing(Channel channel) {
        return channel.pipeline().get(LingeringClose.class) != null;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ReferenceCountUtil.release(message);
        lastProgress = System.nanoTime();
    }

    private void endOutput() {
        outputEnded = true;
        outputEndedAt = System.nanoTime();
        lastProgress = outputEndedAt;
        if (channel instanceof DuplexChannel socket) {
            socket.shutdownOutput();
        } else {
            channel.close();
        }
    }

    private void scheduleCheck() {
        channel.eventLoop().schedule(this::check, CHECK_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        if (!channel.isOpen()) {
            return;
        }
        long now = System.nanoTime();
        if (timedOut(now)) {
            channel.unsafe().close(channel.voidPromise());
            return;
        }
        scheduleCheck();
    }

    private boolean timedOut(long now) {
        if (outputEnded) {
            return now - lastProgress > QUIET_NANOSECONDS || now - outputEndedAt > SENDING_NANOSECONDS;
        }
        long unsent = unsentBytes();
        if (unsent != lastUnsent) {
            lastUnsent = unsent;
            lastProgress = now;
        }
        return now - lastProgress > STALLED_NANOSECONDS;
    }

    private long unsentBytes() {
        ChannelOutboundBuffer queued = channel.unsafe().outboundBuffer();
        return queued == null ? 0 : queued.totalPendingWriteBytes() - queued.currentProgress();
    }
}
