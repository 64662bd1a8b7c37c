package org.plantainshunt.protocol;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.plantainshunt.protocol.wire.Challenge;
import org.plantainshunt.protocol.wire.Frame;
import org.plantainshunt.protocol.wire.HandshakeRefused;
import org.plantainshunt.protocol.wire.Hello;
import org.plantainshunt.protocol.wire.Identity;
import org.plantainshunt.protocol.wire.Welcome;
import org.plantainshunt.result.ResultCode;

/** The handshake on the connecting side of a connection. Confined to the event loop. */
final class ClientHandshake extends SimpleChannelInboundHandler<Frame> {
    /** Number of the first call of the connecting side. */
    private static final int FIRST_CALL_NUMBER = 1;

    private final EndpointContext context;
    private final FrameDecoder decoder;
    private final CompletableFuture<InnerConnection> result;
    private final ByteString nonce;
    private ByteString peerNonce;
    private ByteString proof;
    private Future<?> timeout;

    /**
     * Creates the handshake of one connection.
     *
     * @param result is completed with the connection, or with a {@link ProtocolException}
     */
    ClientHandshake(EndpointContext context, FrameDecoder decoder, CompletableFuture<InnerConnection> result) {
        this.context = context;
        this.decoder = decoder;
        this.result = result;
        this.nonce = context.authenticator().newNonce();
    }

    @Override
    public void channelActive(ChannelHandlerContext handlerContext) {
        timeout = handlerContext
                .executor()
                .schedule(
                        () -> fail(handlerContext, ResultCode.CONNECT_FAILED, "no handshake in time"),
                        InnerEndpoint.HANDSHAKE_TIMEOUT_SECONDS,
                        TimeUnit.SECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext handlerContext, Frame frame) throws ProtocolException {
        if (frame.hasChallenge() && peerNonce == null) {
            answerChallenge(handlerContext, frame.getChallenge());
        } else if (frame.hasWelcome() && peerNonce != null) {
            checkWelcome(handlerContext, frame.getWelcome());
        } else if (frame.hasHandshakeRefused()) {
            handleRefusal(handlerContext, frame.getHandshakeRefused());
        } else {
            throw FrameConverter.invalid("the peer sent " + frame.getContentCase() + " in its handshake");
        }
    }

    private void answerChallenge(ChannelHandlerContext handlerContext, Challenge challenge) throws ProtocolException {
        if (challenge.getVersion() != Frames.VERSION) {
            throw new ProtocolException(
                    ResultCode.PROTOCOL_VERSION_MISMATCH,
                    "this node speaks version " + Frames.VERSION + ", the peer " + challenge.getVersion());
        }
        if (challenge.getNonce().size() != Authenticator.NONCE_BYTES) {
            throw new ProtocolException(ResultCode.PROTOCOL_AUTHENTICATION_FAILED, "the peer sent a wrong nonce");
        }
        peerNonce = challenge.getNonce();
        Identity identity = FrameConverter.identity(context.settings());
        proof = context.authenticator().connectingProof(peerNonce, nonce, identity);
        Hello.Builder hello = Hello.newBuilder()
                .setVersion(Frames.VERSION)
                .setNonce(nonce)
                .setIdentity(identity)
                .setMac(proof);
        Frame frame = Frame.newBuilder().setHello(hello).build();
        handlerContext.writeAndFlush(Frames.encode(handlerContext.alloc(), frame), handlerContext.voidPromise());
    }

    private void checkWelcome(ChannelHandlerContext handlerContext, Welcome welcome) throws ProtocolException {
        ByteString expected = context.authenticator().acceptingProof(peerNonce, nonce, welcome.getIdentity(), proof);
        if (!Authenticator.constantTimeEquals(expected, welcome.getMac())) {
            throw new ProtocolException(
                    ResultCode.PROTOCOL_AUTHENTICATION_FAILED, "the peer's proof of the secret is wrong");
        }
        Connection connection =
                ConnectionSetup.install(handlerContext, decoder, context, welcome.getIdentity(), FIRST_CALL_NUMBER);
        if (!result.complete(connection)) {
            connection.close();
        }
    }

    private void handleRefusal(ChannelHandlerContext handlerContext, HandshakeRefused refused) {
        fail(handlerContext, code(refused.getCode()), "the peer refused: " + refused.getDetail());
    }

    /** Accepts only the codes that a handshake can fail with, because the refusal is not authenticated. */
    private static ResultCode code(int number) {
        return ResultCode.ofNumber(number)
                .filter(code -> code == ResultCode.PROTOCOL_VERSION_MISMATCH
                        || code == ResultCode.PROTOCOL_AUTHENTICATION_FAILED)
                .orElse(ResultCode.CONNECT_FAILED);
    }

    /** Fails the connection attempt. Callers receive the message as part of a refusal's detail. */
    private void fail(ChannelHandlerContext handlerContext, ResultCode code, String message) {
        result.completeExceptionally(new ProtocolException(code, message));
        handlerContext.close();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext handlerContext) {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
        fail(handlerContext, ResultCode.CONNECT_FAILED, "the peer closed the connection in its handshake");
    }

    /** Reports an invalid frame as a failed connection, because no part of a call can have been sent yet. */
    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        if (cause instanceof ProtocolException exception && exception.code() != ResultCode.PROTOCOL_FRAME_INVALID) {
            fail(handlerContext, exception.code(), exception.getMessage());
            return;
        }
        fail(handlerContext, ResultCode.CONNECT_FAILED, "the handshake failed: " + Connection.reason(cause));
    }
}
