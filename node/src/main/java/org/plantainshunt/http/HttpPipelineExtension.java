package org.plantainshunt.http;

import java.net.SocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpServerCodec;

/**
 * Adds the handlers of this package to the channel pipelines of Ratpack's HTTP connections.
 *
 * <p>Ratpack 1.9 gives no access to its pipelines, runs pipelined requests in parallel, takes a chunk that cannot be
 * decoded for the end of a body, and responds to malformed requests without a result code. Netty calls this extension
 * for each connection of the process. Thread-safe.
 */
public final class HttpPipelineExtension extends ChannelInitializerExtension {
    private static final String HANDLER_NAME = "plantainshunt-guard";
    private static final Map<SocketAddress, Function<Channel, RequestSequencer>> SEQUENCERS = new ConcurrentHashMap<>();

    /** Makes Netty load the extension; must be called before the process creates its first connection or server. */
    public static void enable() {
        System.setProperty(EXTENSIONS_SYSTEM_PROPERTY, "serviceload");
    }

    /**
     * Adds a {@link RequestSequencer} to each connection that is accepted at a listening address from now on.
     *
     * @param listening the local address of the listening channel
     * @param sequencer creates the handler of a new connection, on its event loop
     */
    static void register(SocketAddress listening, Function<Channel, RequestSequencer> sequencer) {
        SEQUENCERS.put(listening, sequencer);
    }

    static void unregister(SocketAddress listening) {
        SEQUENCERS.remove(listening);
    }

    @Override
    public void postInitializeServerChildChannel(Channel channel) {
        channel.pipeline().addFirst(new ServerInstaller());
    }

    @Override
    public void postInitializeClientChannel(Channel channel) {
        channel.pipeline().addFirst(new ClientInstaller());
    }

    /** Adds the handler for a caller's connection once Ratpack has built the pipeline. */
    private static final class ServerInstaller extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext context) throws Exception {
            ChannelPipeline pipeline = context.pipeline();
            SocketAddress listening = context.channel().parent().localAddress();
            Optional<String> last = lastCodec(pipeline);
            Function<Channel, RequestSequencer> sequencer = SEQUENCERS.get(listening);
            if (sequencer != null && last.isPresent()) {
                pipeline.addAfter(last.get(), HANDLER_NAME, sequencer.apply(context.channel()));
            }
            super.channelActive(context);
            pipeline.remove(this);
        }

        private static Optional<String> lastCodec(ChannelPipeline pipeline) {
            Optional<String> last = Optional.empty();
            for (Map.Entry<String, ChannelHandler> entry : pipeline) {
                ChannelHandler handler = entry.getValue();
                if (handler instanceof HttpServerCodec
                        || handler instanceof HttpRequestDecoder
                        || handler instanceof HttpResponseEncoder) {
                    last = Optional.of(entry.getKey());
                }
            }
            return last;
        }
    }

    /**
     * Adds a handler after the codec, which Ratpack replaces for each exchange, and passes bytes to the codec only
     * after a valid head of the exchange's response.
     */
    private static final class ClientInstaller extends ChannelInboundHandlerAdapter {
        private HttpClientCodec handledCodec;
        private boolean headExpected;
        private ByteBuf held = Unpooled.EMPTY_BUFFER;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            ChannelPipeline pipeline = context.pipeline();
            ChannelHandlerContext codec = pipeline.context(HttpClientCodec.class);
            if (codec == null) {
                // The connection uses another protocol and never gets an HTTP codec.
                pipeline.remove(this);
            } else if (codec.handler() != handledCodec) {
                handledCodec = (HttpClientCodec) codec.handler();
                headExpected = true;
                if (pipeline.get(HANDLER_NAME) != null) {
                    pipeline.remove(HANDLER_NAME);
                }
                pipeline.addAfter(codec.name(), HANDLER_NAME, new ResponseDecodeErrorHandler());
            }
            if (headExpected && message instanceof ByteBuf bytes) {
                receiveHead(context, bytes);
                return;
            }
            context.fireChannelRead(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) throws Exception {
            release();
            super.channelInactive(context);
        }

        private void receiveHead(ChannelHandlerContext context, ByteBuf bytes) {
            ByteBuf received = Unpooled.wrappedBuffer(held, bytes);
            held = Unpooled.EMPTY_BUFFER;
            int end = AnswerHead.end(received);
            while (headExpected && end >= 0) {
                Optional<String> violation = AnswerHead.violation(received, end);
                if (violation.isPresent()) {
                    received.release();
                    context.fireExceptionCaught(new DecoderException("not an HTTP answer: " + violation.get()));
                    context.close();
                    return;
                }
                headExpected = AnswerHead.isInformational(received);
                if (headExpected) {
                    context.fireChannelRead(received.readRetainedSlice(end - received.readerIndex()));
                    end = AnswerHead.end(received);
                }
            }
            if (headExpected && received.readableBytes() <= AnswerHead.MAX_BYTES) {
                held = received;
                return;
            }
            // The codec rejects a head that is too long.
            headExpected = false;
            context.fireChannelRead(received);
        }

        private void release() {
            held.release();
            held = Unpooled.EMPTY_BUFFER;
        }
    }
}
