package org.plantainshunt.standins;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;

/**
 * A relayed connection: the accepted channel and the channel to the target, both on the same event loop.
 *
 * <p>Confined to that event loop, except for {@link #apply}.
 */
final class RelayConnection {
    /** Pauses reading while more bytes than this are pending in one direction, so a slow link applies backpressure. */
    private static final long MAX_PENDING_BYTES = 256 * 1024;

    private final Channel accepted;
    private final Channel target;
    private volatile RelayRules.LinkRule linkRule;

    RelayConnection(Channel accepted, Channel target, RelayRules.LinkRule linkRule) {
        this.accepted = accepted;
        this.target = target;
        this.linkRule = linkRule;
    }

    /** Installs the forwarding handlers on both channels and applies the current rule. */
    void open(AtomicLong bytesToTarget, AtomicLong bytesFromTarget) {
        accepted.pipeline().addLast(new Forwarder(accepted, target, true, bytesToTarget));
        target.pipeline().addLast(new Forwarder(target, accepted, false, bytesFromTarget));
        apply(linkRule);
    }

    /** Replaces the rule of this connection; a cut rule resets both channels. */
    void apply(RelayRules.LinkRule next) {
        linkRule = next;
        accepted.eventLoop().execute(() -> {
            RelayRule.Mode mode = next.rule().mode();
            if (mode == RelayRule.Mode.CUT) {
                reset(accepted);
                reset(target);
                return;
            }
            boolean autoRead = mode != RelayRule.Mode.STALL;
            accepted.config().setAutoRead(autoRead);
            target.config().setAutoRead(autoRead);
        });
    }

    /** Closes a channel with a TCP reset instead of an orderly shutdown, as a broken link does. */
    static void reset(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    private boolean isReadEnabled() {
        return linkRule.rule().mode() != RelayRule.Mode.STALL;
    }

    /** Forwards the bytes of one channel to the other, with the latency and bandwidth of the rule. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel source;
        private final Channel sink;
        private final boolean towardsTarget;
        private final AtomicLong bytes;
        private long pending;
        private long lastStepAt = Long.MIN_VALUE;

        Forwarder(Channel source, Channel sink, boolean towardsTarget, AtomicLong bytes) {
            this.source = source;
            this.sink = sink;
            this.towardsTarget = towardsTarget;
            this.bytes = bytes;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf buffer = (ByteBuf) message;
            int length = buffer.readableBytes();
            bytes.addAndGet(length);
            pending += length;
            if (pending > MAX_PENDING_BYTES) {
                source.config().setAutoRead(false);
            }
            long now = System.nanoTime();
            long at = linkRule.departureTime(towardsTarget, length, now);
            schedule(at, now, () -> sink.writeAndFlush(buffer).addListener(written -> onWritten(length)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            long now = System.nanoTime();
            schedule(now, now, sink::close);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            reset(source);
            reset(sink);
        }

        private void onWritten(int length) {
            pending -= length;
            if (pending <= MAX_PENDING_BYTES / 2 && isReadEnabled()) {
                source.config().setAutoRead(true);
            }
        }

        /** Runs a step at the given time, but never before an earlier step, so that bytes stay in order. */
        private void schedule(long at, long now, Runnable step) {
            lastStepAt = lastStepAt == Long.MIN_VALUE ? at : Math.max(at, lastStepAt);
            long delay = lastStepAt - now;
            if (delay <= 0) {
                step.run();
                return;
            }
            source.eventLoop().schedule(step, delay, TimeUnit.NANOSECONDS);
        }
    }
}
