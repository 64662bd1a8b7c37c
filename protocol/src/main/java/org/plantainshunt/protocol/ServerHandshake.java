package org.plantainshunt.protocol;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.plantainshunt.protocol.wire.Challenge;
import org.plantainshunt.protocol.wire.Frame;
import org.plantainshunt.protocol.wire.HandshakeRefused;
import org.plantainshunt.protocol.wire.Hello;
import org.plantainshunt.protocol.wire.Identity;
import org.plantainshunt.protocol.wire.Welcome;
import org.plantainshunt.result.ResultCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The handshake on the accepting side of a connection. Confined to the event loop. */
final class ServerHandshake extends SimpleChannelInboundHandler<Frame> {
    /**
     * Maximum number of concurrent handshakes. Further connections are closed, to bound the memory that unauthenticated
     * peers can use.
     */
    static final int MAXIMUM_PENDING_HANDSHAKES = 1_024;

    /** Number of the first call of the accepting side. */
    private static final int FIRST_CALL_NUMBER = 2;

    private static final Logger LOGGER = LoggerFactory.getLogger(ServerHandshake.class);

    private final EndpointContext context;
    private final FrameDecoder decoder;
    private final AtomicInteger pending;
    private final ByteString nonce;
    private Future<?> timeout;
    private boolean overLimit;
    private boolean finished;

    /**
     * Creates the handshake of one connection.
     *
     * @param pending number of handshakes in progress at the endpoint
     */
    ServerHandshake(EndpointContext context, FrameDecoder decoder, AtomicInteger pending) {
        this.context = context;
        this.decoder = decoder;
        this.pending = pending;
        this.nonce = context.authenticator().newNonce();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext handlerContext) {
        overLimit = pending.incrementAndGet() > MAXIMUM_PENDING_HANDSHAKES;
    }

    @Override
    public void channelActive(ChannelHandlerContext handlerContext) {
        if (overLimit) {
            LOGGER.warn("connection from {} closed: too many handshakes", remote(handlerContext));
            handlerContext.close();
            return;
        }
        timeout = handlerContext
                .executor()
                .schedule(() -> timedOut(handlerContext), InnerEndpoint.HANDSHAKE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        Challenge.Builder challenge =
                Challenge.newBuilder().setVersion(Frames.VERSION).setNonce(nonce);
        send(handlerContext, Frame.newBuilder().setChallenge(challenge).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext handlerContext, Frame frame) throws ProtocolException {
        if (finished) {
            return;
        }
        if (!frame.hasHello()) {
            throw FrameConverter.invalid("the peer sent " + frame.getContentCase() + " instead of a hello");
        }
        Hello hello = frame.getHello();
        if (hello.getVersion() != Frames.VERSION) {
            String detail = "this node speaks version " + Frames.VERSION + ", the peer " + hello.getVersion();
            refuse(handlerContext, ResultCode.PROTOCOL_VERSION_MISMATCH, detail);
            return;
        }
        if (!isAuthentic(hello)) {
            refuse(handlerContext, ResultCode.PROTOCOL_AUTHENTICATION_FAILED, "the proof of the secret is wrong");
            return;
        }
        accept(handlerContext, hello);
    }

    private boolean isAuthentic(Hello hello) {
        if (hello.getNonce().size() != Authenticator.NONCE_BYTES) {
            return false;
        }
        ByteString expected = context.authenticator().connectingProof(nonce, hello.getNonce(), hello.getIdentity());
        return Authenticator.constantTimeEquals(expected, hello.getMac());
    }

    private void accept(ChannelHandlerContext handlerContext, Hello hello) {
        finish();
        Identity identity = FrameConverter.identity(context.settings());
        ByteString proof = context.authenticator().acceptingProof(nonce, hello.getNonce(), identity, hello.getMac());
        Welcome.Builder welcome = Welcome.newBuilder().setIdentity(identity).setMac(proof);
        send(handlerContext, Frame.newBuilder().setWelcome(welcome).build());
        ConnectionSetup.install(handlerContext, decoder, context, hello.getIdentity(), FIRST_CALL_NUMBER);
    }

    private void refuse(ChannelHandlerContext handlerContext, ResultCode code, String detail) {
        finish();
        LOGGER.warn("connection from {} refused: {} {}", remote(handlerContext), code.number(), detail);
        HandshakeRefused.Builder refused =
                HandshakeRefused.newBuilder().setCode(code.number()).setDetail(detail);
        Frame frame = Frame.newBuilder().setHandshakeRefused(refused).build();
        handlerContext
                .writeAndFlush(Frames.encode(handlerContext.alloc(), frame))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private void timedOut(ChannelHandlerContext handlerContext) {
        LOGGER.warn("connection from {} closed: the handshake timed out", remote(handlerContext));
        handlerContext.close();
    }

    private void finish() {
        finished = true;
        timeout.cancel(false);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext handlerContext) {
        pending.decrementAndGet();
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        LOGGER.warn("connection from {} closed: {}", remote(handlerContext), Connection.reason(cause));
        handlerContext.close();
    }

    private static Object remote(ChannelHandlerContext handlerContext) {
        return handlerContext.channel().remoteAddress();
    }

    private static void send(ChannelHandlerContext handlerContext, Frame frame) {
        handlerContext.writeAndFlush(Frames.encode(handlerContext.alloc(), frame), handlerContext.voidPromise());
    }
}
