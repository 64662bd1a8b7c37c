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
final class AcceptQueueDrainer extends ChannelInboundHandlerAdapter {
    /** The time after which the channel closes at the latest, for example because no connection arrives. */
    private static final long CLOSE_TIMEOUT_MILLISECONDS = 100;
    /** Netty accepts at most this many connections per read; after a full read, more may be queued. */
    private static final int MAX_ACCEPTS_PER_READ = 16;

    private final List<Object> accepted = new ArrayList<>();

    private AcceptQueueDrainer() {}

    /** Starts to close a listening channel; idempotent and thread-safe. */
    static void drainAndClose(Channel listening) {
        listening.eventLoop().execute(() -> {
            if (!listening.isOpen() || listening.pipeline().get(AcceptQueueDrainer.class) != null) {
                return;
            }
            listening.pipeline().addFirst(new AcceptQueueDrainer());
            listening.eventLoop().schedule(() -> listening.close(), CLOSE_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object connection) {
        accepted.add(connection);
    }

    /** Closes before the accepted connections are set up, since others could be established during the setup. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (accepted.size() < MAX_ACCEPTS_PER_READ) {
            context.close();
        }
        List<Object> connections = new ArrayList<>(accepted);
        accepted.clear();
        connections.forEach(context::fireChannelRead);
        context.fireChannelReadComplete();
    }
}
