package org.plantainshunt.http;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import org.plantainshunt.configuration.RequestLimits;
import org.plantainshunt.protocol.CancelHandle;
import org.plantainshunt.protocol.LoopTimer;

/**
 * An HTTP/1.1 server that runs pipelined requests concurrently and writes the responses in request order.
 *
 * <p>Ratpack reads from a connection again only after the response to the last request, and so detects a caller's
 * disconnect only then; its responses to requests that arrive together can be out of order. {@code RatpackLimitsTest}
 * shows both, and {@code PipelinedServerTest} what this server does instead. All state is confined to one event loop.
 * The methods are thread-safe.
 */
public final class PipelinedServer implements AutoCloseable {
    /** The length of the kernel's accept queue; enough for many callers that reconnect at the same time. */
    private static final int ACCEPT_BACKLOG = 1_024;
    /** The interval of the check for idle and slow connections, well below the default time limits. */
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

    private static final int CHUNK_BYTES = 16 * 1024;

    private final EventLoop loop;
    private final Handler handler;
    private final Supplier<RequestLimits> limits;
    private final LongSupplier clock;
    private final Set<ServerConnection> connections = new HashSet<>();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger closing = new AtomicInteger();
    private final Channel listening;
    private final LoopTimer sweep;
    private volatile boolean draining;

    /** Handles complete requests, on the event loop. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Handles a request.
         *
         * @param request the request
         * @param response receives exactly one response, on any thread
         * @return the handle that cancels the request if the caller disconnects
         */
        CancelHandle handle(BufferedHttpRequest request, Consumer<BufferedHttpResponse> response);
    }

    /**
     * Starts the server.
     *
     * @param loop the event loop for all connections, which the caller shuts down
     * @param address the address to listen on
     * @param handler handles the requests
     * @param limits returns the limits in force
     * @param clock the node's monotonic clock, in nanoseconds
     * @throws IOException if the address cannot be bound
     */
    public PipelinedServer(
            EventLoop loop,
            InetSocketAddress address,
            Handler handler,
            Supplier<RequestLimits> limits,
            LongSupplier clock)
            throws IOException {
        this.loop = loop;
        this.handler = handler;
        this.limits = limits;
        this.clock = clock;
        this.listening = bind(address);
        this.sweep = LoopTimer.every(loop, SWEEP_INTERVAL, "the check of caller connections", this::sweep);
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Returns the number of requests whose response has not been written. */
    public int openRequests() {
        return open.get();
    }

    /** Returns the number of connections that are being closed and whose callers may still read responses. */
    public int closingConnections() {
        return closing.get();
    }

    /** From now on, closes each connection after the response to its last pipelined request. */
    public void drain() {
        draining = true;
    }

    /**
     * Stops accepting connections, and closes each one after the responses to the requests that have arrived on it.
     *
     * <p>A connection that has not had any request stays open, since its first one may be in transit.
     */
    public void stopListening() {
        AcceptQueueDrainer.drainAndClose(listening);
        loop.execute(() -> new ArrayList<>(connections).forEach(ServerConnection::finish));
    }

    @Override
    public void close() {
        sweep.cancel();
        listening.close().awaitUninterruptibly(SWEEP_INTERVAL.toMillis());
        loop.execute(() -> new ArrayList<>(connections).forEach(ServerConnection::closeNow));
    }

    Handler handler() {
        return handler;
    }

    RequestLimits limits() {
        return limits.get();
    }

    boolean draining() {
        return draining;
    }

    long now() {
        return clock.getAsLong();
    }

    void requestOpened() {
        open.incrementAndGet();
    }

    void requestEnded() {
        open.decrementAndGet();
    }

    void closingStarted() {
        closing.incrementAndGet();
    }

    void closingEnded() {
        closing.decrementAndGet();
    }

    void opened(ServerConnection connection) {
        connections.add(connection);
    }

    void closed(ServerConnection connection) {
        connections.remove(connection);
    }

    private Channel bind(InetSocketAddress address) throws IOException {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // The decoder keeps its limits; those on bodies and times follow the configuration.
                        RequestLimits connectionLimits = limits();
                        ServerConnection connection = new ServerConnection(PipelinedServer.this);
                        channel.pipeline()
                                .addLast(
                                        connection.firstByteDetector(),
                                        new HttpServerCodec(
                                                connectionLimits.headerBytes(),
                                                connectionLimits.headerBytes(),
                                                CHUNK_BYTES),
                                        connection);
                    }
                })
                .bind(address);
        try {
            bound.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while binding " + address);
        }
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + address, bound.cause());
        }
        return bound.channel();
    }

    private void sweep() {
        long now = now();
        new ArrayList<>(connections).forEach(connection -> connection.closeIfTimedOut(now));
    }
}
