package org.plantainshunt.protocol;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.plantainshunt.result.ResultCode;

/**
 * A node's endpoint of the inner protocol: accepts connections from other nodes and connects to them.
 *
 * <p>Safe for use by any thread. Callbacks run on the event loops, except as {@link InnerConnection} states, and must
 * not block.
 *
 * <pre>{@code
 * InnerEndpoint endpoint = new InnerEndpoint(settings, callHandler, peerHandler);
 * endpoint.listen("10.1.0.7", 7100);
 * endpoint.connect("10.1.0.8", 7100).thenAccept(connection -> connection.call(message, listener));
 * }</pre>
 */
public final class InnerEndpoint implements AutoCloseable {
    /** Timeout of a handshake, in seconds; allows for the slow start of a new process. */
    static final int HANDSHAKE_TIMEOUT_SECONDS = 3;
    /** Timeout of a TCP connect, in seconds; the kernel of a reachable VM accepts connections immediately. */
    private static final int CONNECT_TIMEOUT_SECONDS = 1;

    /** Backlog of the listening socket; large enough for all nodes reconnecting at the same time. */
    private static final int ACCEPT_BACKLOG = 1_024;

    /**
     * Size of the socket's send buffer. Small enough that a small answer does not wait behind much of a large one on a
     * slow link. The kernel doubles the value, to more than the 150 kB that a link of 30 Mbit/s delivers in a round
     * trip of 40 ms.
     */
    private static final int SEND_BUFFER_BYTES = 128 << 10;

    /** Water marks of a channel: writing pauses above two chunks and resumes below one. */
    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(Frames.MAXIMUM_CHUNK_BYTES, 2 * Frames.MAXIMUM_CHUNK_BYTES);

    /** Longest wait in each stage of closing: until the peers have received everything, then for the event loops. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(5);

    private static final long MINIMUM_CLOSE_MILLISECONDS = 50;

    /**
     * Local address of outgoing connections, so that a VM with several addresses connects from the one that other nodes
     * know; null before this node listens.
     */
    private volatile InetSocketAddress outgoingAddress;

    private final EndpointContext context;
    private final EventLoopGroup eventLoops;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final AtomicInteger pendingHandshakes = new AtomicInteger();

    /** Creates an endpoint that neither listens nor has connections yet. */
    public InnerEndpoint(InnerSettings settings, CallHandler callHandler, PeerHandler peerHandler) {
        this(
                settings,
                callHandler,
                peerHandler,
                new NioEventLoopGroup(settings.eventLoopThreads(), new DefaultThreadFactory("inner", true)));
    }

    /** Creates an endpoint that uses the given event loops, which {@link #close} shuts down. */
    public InnerEndpoint(
            InnerSettings settings, CallHandler callHandler, PeerHandler peerHandler, EventLoopGroup eventLoops) {
        context = new EndpointContext(settings, callHandler, peerHandler);
        this.eventLoops = eventLoops;
        LoopTimer.every(
                eventLoops.next(),
                settings.keepAliveInterval(),
                "the idle connection check",
                context.connections()::checkIdle);
    }

    /**
     * Starts accepting connections. Blocks until the port is bound.
     *
     * @param address IP address
     * @param port TCP port; 0 for one that the kernel chooses
     * @return the port that was bound
     * @throws IOException if the address cannot be bound
     */
    public int listen(String address, int port) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initializeAccepted(channel);
                    }
                });
        ChannelFuture bound = bootstrap.bind(new InetSocketAddress(address, port));
        try {
            bound.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while binding " + address + ":" + port);
        }
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + address + ":" + port, bound.cause());
        }
        channels.add(bound.channel());
        InetSocketAddress local = (InetSocketAddress) bound.channel().localAddress();
        outgoingAddress = new InetSocketAddress(local.getAddress(), 0);
        return local.getPort();
    }

    /**
     * Opens a connection.
     *
     * @param address IP address
     * @param port TCP port
     * @return completed on an event loop after the handshake of both sides, or with a {@link ProtocolException}:
     *     {@link ResultCode#CONNECT_FAILED}, {@link ResultCode#PROTOCOL_VERSION_MISMATCH} or
     *     {@link ResultCode#PROTOCOL_AUTHENTICATION_FAILED}
     */
    public CompletableFuture<InnerConnection> connect(String address, int port) {
        CompletableFuture<InnerConnection> result = new CompletableFuture<>();
        if (eventLoops.isShuttingDown()) {
            result.completeExceptionally(new ProtocolException(ResultCode.CONNECT_FAILED, "the endpoint is closed"));
            return result;
        }
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) TimeUnit.SECONDS.toMillis(CONNECT_TIMEOUT_SECONDS))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initializeConnecting(channel, result);
                    }
                });
        bootstrap.connect(new InetSocketAddress(address, port), outgoingAddress).addListener(future -> {
            if (!future.isSuccess()) {
                String message = "cannot connect to " + address + ":" + port + ": "
                        + future.cause().getMessage();
                result.completeExceptionally(new ProtocolException(ResultCode.CONNECT_FAILED, message, future.cause()));
            }
        });
        return result;
    }

    /** Returns the bytes sent since the start in frames other than those of calls, ticket requests and handshakes. */
    public long controlBytesSent() {
        return context.controlTraffic().sentBytes();
    }

    /** Returns the bytes received since the start in the frames that {@link #controlBytesSent} counts. */
    public long controlBytesReceived() {
        return context.controlTraffic().receivedBytes();
    }

    /** Tells the peers of all current and future connections that this node is draining. */
    public void announceDraining() {
        context.connections().announceDraining();
    }

    /** Closes like {@link #close(Duration)}, with the longest limit. */
    @Override
    public void close() {
        close(CLOSE_TIMEOUT);
    }

    /**
     * Stops listening and closes all connections. Answers and messages queued before are still sent; open calls end as
     * if their connections were lost. Blocks until done, and must not be called from a callback.
     *
     * @param limit how long to wait for the peers to receive what was sent, at most 5 s
     */
    public void close(Duration limit) {
        long wait = Math.max(MINIMUM_CLOSE_MILLISECONDS, Math.min(limit.toMillis(), CLOSE_TIMEOUT.toMillis()));
        channels.close(channel -> !context.connections().containsChannel(channel));
        context.connections().closeWhenSent();
        channels.newCloseFuture().awaitUninterruptibly(wait);
        channels.close();
        eventLoops.shutdownGracefully(0, wait, TimeUnit.MILLISECONDS).awaitUninterruptibly(wait);
    }

    private void initializeAccepted(Channel channel) {
        channels.add(channel);
        FrameDecoder decoder = new FrameDecoder();
        channel.pipeline().addLast(decoder, new ServerHandshake(context, decoder, pendingHandshakes));
    }

    private void initializeConnecting(Channel channel, CompletableFuture<InnerConnection> result) {
        channels.add(channel);
        FrameDecoder decoder = new FrameDecoder();
        channel.pipeline().addLast(decoder, new ClientHandshake(context, decoder, result));
    }
}
