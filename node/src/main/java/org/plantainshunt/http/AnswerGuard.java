package org.plantainshunt.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;

/**
 * Fails an exchange whose answer cannot be decoded, and closes its connection.
 *
 * <p>Without it, a malformed chunk ends the answer as if it were whole. Confined to the connection's event loop.
 */
final class AnswerGuard extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
            Throwable cause = part.decoderResult().cause();
            ReferenceCountUtil.release(message);
            // What was decoded before is handed on by a task of the event loop; the failure must come after it.
            context.executor().execute(() -> {
                context.fireExceptionCaught(new DecoderException("the answer cannot be decoded", cause));
                context.close();
            });
            return;
        }
        context.fireChannelRead(message);
    }
}
