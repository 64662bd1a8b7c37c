package org.plantainshunt.http;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Closes a listening channel right after it has accepted what waits at the kernel.
 *
 * <p>The kernel resets connections that it has made and that nobody has accepted when the listening socket closes.
 * Confined to the event loop of the channel.
 */
final class ListenerClose extends ChannelInboundHandlerAdapter {
    /** When to close if nobody connects. */
    private static final long NOBODY_CONNECTS_MILLISECONDS = 100;
    /** Netty accepts this many connections at once; if it does, more may wait. */
    private static final int MOST_ACCEPTED_AT_ONCE = 16;

    private final List<Object> accepted = new ArrayList<>();

    private ListenerClose() {}

    /** Closes a listening channel soon; safe for use by any thread, and more than once. */
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

    /** Closes before the accepted connections are set up, which takes long enough for others to be made. */
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
