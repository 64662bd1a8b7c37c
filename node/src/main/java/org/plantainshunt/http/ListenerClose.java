package org.plantainshunt.http;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Closes a listening channel right after it has accepted the connections in the kernel's accept queue.
 *
 * <p>When a listening socket closes, the kernel resets the connections that are established but not yet accepted.
 * Confined to the event loop of the channel.
 */
final class ListenerClose extends ChannelInboundHandlerAdapter {
    /** The time after which the channel closes if no connection arrives. */
    private static final long NOBODY_CONNECTS_MILLISECONDS = 100;
    /** Netty accepts at most this many connections per read; after a full read, more may be queued. */
    private static final int MOST_ACCEPTED_AT_ONCE = 16;

    private final List<Object> accepted = new ArrayList<>();

    private ListenerClose() {}

    /** Starts to close a listening channel; idempotent and thread-safe. */
    static void begin(Channel listening) {
        listening.eventLoop().execute(() -> {
            if (!listening.isOpen() || listening.pipeline().get(ListenerClose.class) != null) {
                return;
            }
            listening.pipeline().addFirst(new ListenerClose());
            listening
                    .eventLoop()
                    .schedule(() -> listening.close(), NOBODY_CONNECTS_MILLISECONDS, TimeUnit.MILLISECONDS);
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object connection) {
        accepted.add(connection);
    }

    /** Closes before the accepted connections are set up, since others could be established during the setup. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (accepted.size() < MOST_ACCEPTED_AT_ONCE) {
            context.close();
        }
        List<Object> connections = new ArrayList<>(accepted);
        accepted.clear();
        connections.forEach(context::fireChannelRead);
        context.fireChannelReadComplete();
    }
}
