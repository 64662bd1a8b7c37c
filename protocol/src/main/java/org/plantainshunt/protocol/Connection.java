package org.plantainshunt.protocol;

import java.io.IOException;
import java.util.concurrent.RejectedExecutionException;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.timeout.IdleStateEvent;
import org.plantainshunt.protocol.wire.DocumentAnnouncement;
import org.plantainshunt.protocol.wire.DocumentRequest;
import org.plantainshunt.protocol.wire.Draining;
import org.plantainshunt.protocol.wire.Frame;
import org.plantainshunt.protocol.wire.Ping;
import org.plantainshunt.protocol.wire.Pong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An authenticated connection. Dispatches incoming frames to the calls, documents and callbacks they belong to.
 *
 * <p>The public methods are safe for use by any thread; they pass their work on to the event loop.
 */
final class Connection extends SimpleChannelInboundHandler<Frame> implements InnerConnection {
    /**
     * Maximum number of open calls and ticket requests per side of a connection. It is several times the slots and
     * queue length of the largest service, so it only bounds memory and never affects admission.
     */
    static final int MAXIMUM_OPEN_CALLS = 1_024;

    private static final Logger LOGGER = LoggerFactory.getLogger(Connection.class);

    private final Channel channel;
    private final EndpointContext context;
    private final HandshakeInfo peer;
    private final FrameWriter writer;
    private final OutgoingCalls outgoing;
    private final IncomingCalls incoming;
    private final DocumentTransfer documents;
    private boolean pingSent;
    private boolean frameReceived;
    private volatile boolean silent;

    /**
     * Creates the connection after the handshake.
     *
     * @param firstCallNumber 1 on the connecting side, 2 on the accepting side
     */
    Connection(
            Channel channel, EndpointContext context, HandshakeInfo peer, TransitDelay transit, int firstCallNumber) {
        this.channel = channel;
        this.context = context;
        this.peer = peer;
        this.writer = new FrameWriter(channel, context.controlTraffic());
        this.outgoing = new OutgoingCalls(writer, context.settings().maximumBodyBytes(), firstCallNumber);
        this.incoming = new IncomingCalls(writer, context, peer.vm(), transit, task -> run(task, () -> {}));
        this.documents = new DocumentTransfer(writer);
    }

    @Override
    public String peerVm() {
        return peer.vm();
    }

    @Override
    public long peerIncarnation() {
        return peer.incarnation();
    }

    @Override
    public boolean isOpen() {
        return channel.isActive() && !silent;
    }

    @Override
    public CancelHandle call(CallMessage message, AnswerListener listener) {
        OutgoingCall call = new OutgoingCall(message, listener);
        run(
                () -> outgoing.start(call),
                () -> call.refused(OutgoingCalls.unsentRefusal(call, OutgoingCalls.connectFailed())));
        return () -> run(() -> outgoing.cancel(call), () -> {});
    }

    @Override
    public void requestTicket(String service, String kind, TicketListener listener) {
        run(
                () -> outgoing.requestTicket(service, kind, listener),
                () -> listener.refused(OutgoingCalls.connectFailed()));
    }

    @Override
    public void announce(Announcement announcement) {
        DocumentAnnouncement.Builder frame = DocumentAnnouncement.newBuilder()
                .setDocumentKind(announcement.documentKind())
                .setNumber(announcement.number())
                .setDigest(announcement.digest());
        send(Frame.newBuilder().setDocumentAnnouncement(frame));
    }

    @Override
    public void requestDocument(String documentKind) {
        send(Frame.newBuilder().setDocumentRequest(DocumentRequest.newBuilder().setDocumentKind(documentKind)));
    }

    @Override
    public void sendDocument(DocumentMessage document) {
        run(() -> documents.send(document), () -> {});
    }

    @Override
    public void announceDraining() {
        send(Frame.newBuilder()
                .setDraining(
                        Draining.newBuilder().setIncarnation(context.settings().incarnation())));
    }

    @Override
    public void close() {
        channel.close();
    }

    /** Closes the connection once everything queued on it has been sent. */
    void closeWhenSent() {
        run(writer::closeWhenSent, () -> {});
    }

    /** Fires a reader-idle event if no frame has arrived since the last check. */
    void checkIdle() {
        run(
                () -> {
                    boolean idle = !frameReceived;
                    frameReceived = false;
                    if (idle) {
                        channel.pipeline().fireUserEventTriggered(IdleStateEvent.READER_IDLE_STATE_EVENT);
                    }
                },
                () -> {});
    }

    boolean usesChannel(Channel other) {
        return channel == other;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext handlerContext, Frame frame) throws ProtocolException {
        pingSent = false;
        frameReceived = true;
        if (silent) {
            silent = false;
            LOGGER.info("{} is heard again", peer.vm());
            context.connections().heardAgain(this, peer);
        }
        context.controlTraffic().received(frame);
        switch (frame.getContentCase()) {
            case CALL_START, CHUNK, CALL_END, CANCEL, TICKET_REQUEST -> receiveRequest(frame);
            case ANSWER_START, ANSWER_END, CALL_REFUSED, TICKET_GRANT -> receiveReply(frame);
            case DRAINING -> receiveDraining(frame.getDraining());
            case DOCUMENT_ANNOUNCEMENT -> receiveAnnouncement(frame.getDocumentAnnouncement());
            case DOCUMENT_REQUEST -> context.peerHandler()
                    .documentRequested(this, frame.getDocumentRequest().getDocumentKind());
            case DOCUMENT_PART -> documents.receive(frame.getDocumentPart()).ifPresent(document -> context.peerHandler()
                    .documentReceived(this, document));
            case PING -> writer.sendControl(
                    Frame.newBuilder().setPong(Pong.getDefaultInstance()).build());
            case PONG -> LOGGER.debug("{} replied to a ping", peer.vm());
            default -> throw FrameConverter.invalid("the peer sent the unexpected frame " + frame.getContentCase());
        }
    }

    private void receiveRequest(Frame frame) throws ProtocolException {
        switch (frame.getContentCase()) {
            case CALL_START -> {
                requirePeerNumber(frame.getCallStart().getCall());
                incoming.start(frame.getCallStart());
            }
            case TICKET_REQUEST -> {
                requirePeerNumber(frame.getTicketRequest().getCall());
                incoming.requestTicket(frame.getTicketRequest());
            }
            case CALL_END -> incoming.end(frame.getCallEnd());
            case CANCEL -> incoming.cancel(frame.getCancel());
            default -> receiveChunk(frame);
        }
    }

    private void receiveChunk(Frame frame) throws ProtocolException {
        if (outgoing.isOwn(frame.getChunk().getCall())) {
            outgoing.chunk(frame.getChunk());
        } else {
            incoming.chunk(frame.getChunk());
        }
    }

    private void receiveReply(Frame frame) throws ProtocolException {
        switch (frame.getContentCase()) {
            case ANSWER_START -> outgoing.answerStart(frame.getAnswerStart());
            case ANSWER_END -> outgoing.answerEnd(frame.getAnswerEnd());
            case CALL_REFUSED -> outgoing.refused(frame.getCallRefused());
            default -> outgoing.granted(frame.getTicketGrant());
        }
    }

    private void requirePeerNumber(long number) throws ProtocolException {
        if (outgoing.isOwn(number)) {
            throw FrameConverter.invalid("the peer started call " + number + ", a call number of this side");
        }
    }

    private void receiveDraining(Draining draining) throws ProtocolException {
        if (draining.getIncarnation() != peer.incarnation()) {
            throw FrameConverter.invalid("the peer announced that another incarnation is draining");
        }
        context.peerHandler().draining(peer.vm(), peer.incarnation());
    }

    private void receiveAnnouncement(DocumentAnnouncement frame) {
        Announcement announcement = new Announcement(frame.getDocumentKind(), frame.getNumber(), frame.getDigest());
        context.peerHandler().documentAnnounced(this, announcement);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
        writer.schedule();
    }

    /**
     * Pings an idle peer if calls or ticket requests to it are open or frames are waiting to be sent. If nothing
     * arrives until the next idle event, the peer is silent: the connection takes no new calls, and is closed as soon
     * as no call waits for the peer.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext handlerContext, Object event) {
        if (!(event instanceof IdleStateEvent)) {
            return;
        }
        if (pingSent) {
            peerSilent();
            return;
        }
        if (!outgoing.isEmpty() || writer.isWaiting()) {
            pingSent = true;
            writer.sendControl(
                    Frame.newBuilder().setPing(Ping.getDefaultInstance()).build());
        }
    }

    private void peerSilent() {
        if (!silent) {
            silent = true;
            LOGGER.warn("{} does not reply to a ping", peer.vm());
            context.connections().fellSilent(this);
        }
        outgoing.peerSilent();
        if (outgoing.isEmpty()) {
            LOGGER.warn("connection with {} closed: no reply to a ping", peer.vm());
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
        writer.close();
        outgoing.connectionLost();
        incoming.connectionLost();
        context.connections().closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        if (cause instanceof ProtocolException || cause instanceof DecoderException) {
            LOGGER.warn("connection with {} at {} closed: {}", peer.vm(), channel.remoteAddress(), reason(cause));
        } else if (cause instanceof IOException) {
            LOGGER.debug("connection with {} at {} closed", peer.vm(), channel.remoteAddress(), cause);
        } else {
            LOGGER.error("connection with {} at {} closed", peer.vm(), channel.remoteAddress(), cause);
        }
        close();
    }

    /** Returns the failure's message, or that of its cause if the decoder wrapped it. */
    static String reason(Throwable failure) {
        Throwable cause = failure instanceof DecoderException ? failure.getCause() : null;
        return (cause == null ? failure : cause).getMessage();
    }

    private void send(Frame.Builder frame) {
        run(() -> writer.sendControl(frame.build()), () -> {});
    }

    private void run(Runnable task, Runnable onClosedEndpoint) {
        try {
            channel.eventLoop().execute(task);
        } catch (RejectedExecutionException closedEndpoint) {
            onClosedEndpoint.run();
        }
    }
}
