package org.plantainshunt.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
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
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
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

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final LongSupplier clock;
    private final Deque<BackendConnection> idle = new ArrayDeque<>();
    private final Set<Channel> channels = new HashSet<>();
    private final LoopTimer sweep;

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
                        channel.pipeline().addLast(new HttpRequestEncoder(), new HttpResponseDecoder(), connection);
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
