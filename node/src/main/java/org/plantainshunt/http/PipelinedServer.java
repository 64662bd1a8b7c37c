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
 * An HTTP/1.1 server that runs the requests of a connection at once and answers them in the order they were sent.
 *
 * <p>Ratpack reads the next request of a connection after the answer to the last one, and so sees a caller's close only
 * then; {@code PipelinedServerTest} shows what this server does instead. All state belongs to one event loop. The
 * methods are safe for use by any thread.
 */
public final class PipelinedServer implements AutoCloseable {
    /** Pending connections that the kernel accepts by itself; enough for callers that reconnect at once. */
    private static final int ACCEPT_BACKLOG = 1_024;
    /** The time between two looks for connections that are idle or slow, a small part of the shortest limit. */
    private static final Duration SWEEP_EVERY = Duration.ofMillis(500);

    private static final int CHUNK_BYTES = 16 * 1024;

    private final EventLoop loop;
    private final Handler handler;
    private final Supplier<RequestLimits> limits;
    private final LongSupplier clock;
    private final Set<ServerConnection> connections = new HashSet<>();
    private final AtomicInteger open = new AtomicInteger();
    private final Channel listening;
    private final LoopTimer sweep;
    private volatile boolean leaving;

    /** Takes whole requests, on the event loop. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Takes a request.
         *
         * @param call the request
         * @param reply takes the one answer, on any thread
         * @return the handle for a caller that goes away
         */
        CancelHandle take(HttpCall call, Consumer<HttpReply> reply);
    }

    /**
     * Starts to listen.
     *
     * @param loop the event loop for all connections, which the caller shuts down
     * @param address where to listen
     * @param handler takes the requests
     * @param limits returns the limits for a new connection
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
        this.sweep = LoopTimer.every(loop, SWEEP_EVERY, "the check of caller connections", this::sweep);
    }

    /** Returns the address that is listened on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Returns the number of requests without a written answer. */
    public int openRequests() {
        return open.get();
    }

    /** Closes each connection after its next answer from now on. */
    public void leave() {
        leaving = true;
    }

    /**
     * Accepts no further connections, and closes those without a request.
     *
     * <p>Those that have not had a request stay open, since a first one may be on its way.
     */
    public void stopListening() {
        ListenerClose.begin(listening);
        loop.execute(() -> new ArrayList<>(connections).forEach(ServerConnection::closeIfIdle));
    }

    @Override
    public void close() {
        sweep.cancel();
        listening.close().awaitUninterruptibly(SWEEP_EVERY.toMillis());
        loop.execute(() -> new ArrayList<>(connections).forEach(ServerConnection::closeNow));
    }

    Handler handler() {
        return handler;
    }

    boolean leaving() {
        return leaving;
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
                        RequestLimits now = limits.get();
                        ServerConnection connection = new ServerConnection(PipelinedServer.this, now);
                        channel.pipeline()
                                .addLast(
                                        connection.byteWatch(),
                                        new HttpServerCodec(now.headerBytes(), now.headerBytes(), CHUNK_BYTES),
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
        new ArrayList<>(connections).forEach(connection -> connection.check(now));
    }
}
