package org.plantainshunt.protocol;

import io.netty.channel.ChannelHandlerContext;
import org.plantainshunt.protocol.wire.Identity;

/** Installs the connection on a channel after the handshake. */
final class ConnectionSetup {
    private ConnectionSetup() {}

    /** Replaces the handshake, which is the handler of the given context, with the connection. */
    static Connection install(
            ChannelHandlerContext handshake,
            FrameDecoder decoder,
            EndpointContext context,
            Identity identity,
            int firstCallNumber) {
        decoder.peerAuthenticated();
        HandshakeInfo handshakeInfo = FrameConverter.handshakeInfo(identity);
        TransitDelay transit = new TransitDelay(identity.getClockNanoseconds(), System.nanoTime());
        Connection connection = new Connection(handshake.channel(), context, handshakeInfo, transit, firstCallNumber);
        handshake.pipeline().replace(handshake.handler(), "connection", connection);
        context.connections().opened(connection, handshakeInfo);
        return connection;
    }
}
