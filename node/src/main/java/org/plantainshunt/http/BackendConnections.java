package org.plantainshunt.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.plantainshunt.call.BackendServer.FailureStage;
import org.plantainshunt.protocol.LoopTimer;

/**
 * A pool of connections to the backend server on the node's VM, each with one request at a time.
 *
 * <p>A connection is reused only if its last response was complete and nothing followed it. The most recently used
 * connection is reused first, which keeps the number of open connections low. Confined to the event loop.
 */
public final class BackendConnections implements AutoCloseable {
    /** Short, because a backend server on the same VM accepts a connection at once or not at all. */
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);
    /** The share of the heap that incomplete response bodies may take together. */
    private static final int HEAP_DIVISOR = 4;

    private static final int MAX_BODY_BYTES = 16 << 20;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final LongSupplier clock;
    private final Limits limits;
    private final Deque<BackendConnection> idle = new ArrayDeque<>();
    private final Set<Channel> channels = new HashSet<>();
    private final Set<BackendConnection> receiving = new HashSet<>();
    private final LoopTimer sweep;
    private long receivedBytes;

    /**
     * Limits on response bodies that have not arrived completely.
     *
     * @param bodyBytes the size limit of one body
     * @param totalBytes the size limit of all bodies together; at the limit, the largest one is given up
     */
    record Limits(long bodyBytes, long totalBytes) {
        static Limits ofHeap() {
            return new Limits(MAX_BODY_BYTES, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
        }
    }

    /**
     * A request and the listener for its outcome.
     *
     * @param httpRequest the request
     * @param matchesResponse returns whether a response, given without its body, is the response to this request
     * @param maxIdleNanos the maximum idle time of a reused connection, in nanoseconds
     * @param listener receives the outcome
     */
    public record Request(
            BufferedHttpRequest httpRequest,
            Predicate<BufferedHttpResponse> matchesResponse,
            long maxIdleNanos,
            Listener listener) {}

    /** Receives the outcome of a request, exactly once. */
    public interface Listener {
        /** Called with the complete response. */
        void answered(BufferedHttpResponse response);

        /** Called if the request failed. */
        void failed(FailureStage stage, String detail);
    }

    /** A request that has been sent or waits for its connection. */
    public final class Exchange {
        private final Request request;
        private BackendConnection connection;
        private boolean ended;

        private Exchange(Request request) {
            this.request = request;
        }

        Request request() {
            return request;
        }

        /** Fails the request; closes its connection if the request has been sent. */
        public void abort(FailureStage stage, String detail) {
            if (ended) {
                return;
            }
            if (connection == null) {
                failed(FailureStage.BEFORE_SENT, detail);
                return;
            }
            BackendConnection used = connection;
            failed(stage, detail);
            used.close();
        }

        void answered(BufferedHttpResponse response) {
            if (!ended) {
                ended = true;
                request.listener().answered(response);
            }
        }

        void failed(FailureStage stage, String detail) {
            if (!ended) {
                ended = true;
                request.listener().failed(stage, detail);
            }
        }
    }

    /**
     * Creates an empty pool.
     *
     * @param loop the event loop for all connections, which the caller shuts down
     * @param address the address of the backend server
     * @param clock the node's monotonic clock, in nanoseconds
     */
    public BackendConnections(EventLoop loop, InetSocketAddress address, LongSupplier clock) {
        this(loop, address, clock, Limits.ofHeap());
    }

    /** Creates an empty pool with limits of its own. */
    BackendConnections(EventLoop loop, InetSocketAddress address, LongSupplier clock, Limits limits) {
        this.limits = limits;
        this.loop = loop;
        this.address = address;
        this.clock = clock;
        this.sweep = LoopTimer.every(loop, SWEEP_INTERVAL, "the check of backend connections", this::closeStale);
    }

    /** Sends a request over an idle connection, or over a new one if none can be reused. */
    public Exchange send(Request request) {
        Exchange exchange = new Exchange(request);
        long now = clock.getAsLong();
        while (!idle.isEmpty()) {
            BackendConnection connection = idle.peekFirst();
            if (!connection.reusable(now)) {
                idle.removeFirst();
                connection.close();
                continue;
            }
            if (connection.idleFor(now) > request.maxIdleNanos()) {
                break;
            }
            idle.removeFirst();
            start(exchange, connection);
            return exchange;
        }
        connect(exchange);
        return exchange;
    }

    @Override
    public void close() {
        sweep.cancel();
        loop.execute(() -> new ArrayList<>(channels).forEach(Channel::close));
    }

    /** Returns a reusable connection to the pool. */
    void released(BackendConnection connection) {
        idle.addFirst(connection);
    }

    /**
     * Counts bytes of a response body that are about to be kept, and gives up responses that exceed a limit. Returns
     * whether the connection may keep the bytes.
     */
    boolean reserve(BackendConnection connection, int bytes) {
        if (connection.bufferedBytes() + (long) bytes > limits.bodyBytes()) {
            connection.failTooLarge("the answer has over " + limits.bodyBytes() + " bytes");
            return false;
        }
        receiving.add(connection);
        receivedBytes += bytes;
        while (receivedBytes > limits.totalBytes()) {
            BackendConnection largest =
                    Collections.max(receiving, Comparator.comparingInt(BackendConnection::bufferedBytes));
            largest.failTooLarge("the incomplete answers take over " + limits.totalBytes() + " bytes together");
            if (largest == connection) {
                // Its new bytes are counted but not in its buffer yet.
                receivedBytes -= bytes;
                return false;
            }
        }
        return true;
    }

    /** Stops counting the bytes of a connection's response body. */
    void unreserve(BackendConnection connection) {
        if (receiving.remove(connection)) {
            receivedBytes -= connection.bufferedBytes();
        }
    }

    void closed(BackendConnection connection, Channel channel) {
        idle.remove(connection);
        channels.remove(channel);
    }

    long now() {
        return clock.getAsLong();
    }

    private void start(Exchange exchange, BackendConnection connection) {
        exchange.connection = connection;
        connection.send(exchange);
    }

    private void connect(Exchange exchange) {
        BackendConnection connection = new BackendConnection(this);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channels.add(channel);
                        channel.pipeline().addLast(connection.handlers());
                    }
                })
                .connect(address)
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        String reason = "no connection to the backend server: "
                                + connected.cause().getMessage();
                        exchange.failed(FailureStage.BEFORE_SENT, reason);
                    } else if (exchange.ended) {
                        connection.release();
                    } else {
                        start(exchange, connection);
                    }
                });
    }

    private void closeStale() {
        long now = clock.getAsLong();
        Iterator<BackendConnection> connections = idle.iterator();
        while (connections.hasNext()) {
            BackendConnection connection = connections.next();
            if (!connection.reusable(now)) {
                connections.remove();
                connection.close();
            }
        }
    }
}
