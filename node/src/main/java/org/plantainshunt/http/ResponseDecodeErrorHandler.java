package org.plantainshunt.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;

/**
 * Fails an exchange whose response cannot be decoded, and closes its connection.
 *
 * <p>Without this handler, Ratpack takes a malformed chunk for the end of a complete response.
 * Confined to the connection's event loop.
 */
final class ResponseDecodeErrorHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
            Throwable cause = part.decoderResult().cause();
            ReferenceCountUtil.release(message);
            // Content decoded earlier is forwarded by a queued event loop task; the failure must come after it.
            context.executor().execute(() -> {
                context.fireExceptionCaught(new DecoderException("the answer cannot be decoded", cause));
                context.close();
            });
            return;
        }
        context.fireChannelRead(message);
    }
}
