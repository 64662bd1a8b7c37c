package org.plantainshunt.protocol;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.IdleStateHandler;
import org.plantainshunt.protocol.wire.Identity;

/** Turns an authenticated channel into a connection. */
final class ConnectionSetup {
    /**
     * Silence after which a peer is asked for a sign of life, in seconds; the connection is closed after another such
     * time. Without it, a call to a VM that vanished would stay open until the kernel gives up, some 15 minutes later.
     */
    static final int SILENCE_SECONDS = 5;

    private ConnectionSetup() {}

    /** Replaces the handshake, which is the handler of the given context, by the connection. */
    static Connection install(
            ChannelHandlerContext handshake,
            FrameDecoder decoder,
            EndpointContext context,
            Identity identity,
            int firstCall) {
        decoder.peerAuthenticated();
        Greeting greeting = Wire.greeting(identity);
        TransitDelay transit = new TransitDelay(identity.getClockNanoseconds(), System.nanoTime());
        Connection connection = new Connection(handshake.channel(), context, greeting, transit, firstCall);
        handshake
                .pipeline()
                .addFirst(new IdleStateHandler(SILENCE_SECONDS, 0, 0, TimeUnit.SECONDS))
                .replace(handshake.handler(), "connection", connection);
        context.peers().opened(connection, greeting);
        return connection;
    }
}
