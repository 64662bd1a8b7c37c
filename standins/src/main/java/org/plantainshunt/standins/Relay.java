package org.plantainshunt.standins;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A TCP relay that simulates a network link: it can reset, refuse, stall, delay and throttle connections.
 *
 * <p>Rules select connections by source address and target, so a single relay can partition a fleet. Thread-safe.
 */
public final class Relay implements AutoCloseable {
    private static final int THREADS = 2;
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 5_000;

    private final EventLoopGroup group = new NioEventLoopGroup(THREADS);
    private final RelayRules rules = new RelayRules();
    private final Map<RelayConnection, Route> connections = new ConcurrentHashMap<>();
    private final AtomicLong bytesToTarget = new AtomicLong();
    private final AtomicLong bytesFromTarget = new AtomicLong();
    private final List<Channel> servers = new ArrayList<>();

    /**
     * Starts relaying connections from an address to a target.
     *
     * @param listen the address to bind
     * @param target the address that connections are forwarded to
     * @return the bound address, with the actual port
     * @throws InterruptedException if the thread is interrupted while the address is bound
     */
    public synchronized Endpoint add(Endpoint listen, Endpoint target) throws InterruptedException {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        accept(accepted, target);
                    }
                })
                .bind(listen.socketAddress())
                .sync();
        servers.add(bound.channel());
        return listen.withPort(((InetSocketAddress) bound.channel().localAddress()).getPort());
    }

    /** Changes the rule for the connections that match both prefixes, including open connections. */
    void updateRule(String from, String to, UnaryOperator<RelayRule> change) {
        rules.update(from, to, change);
        applyRules();
    }

    /** Removes all rules. Connections that were reset stay closed. */
    void heal() {
        rules.heal();
        applyRules();
    }

    /** Returns the number of open connections. */
    int openConnections() {
        return connections.size();
    }

    /** Returns the number of bytes received from clients so far. */
    long bytesToTarget() {
        return bytesToTarget.get();
    }

    /** Returns the number of bytes received from targets so far. */
    long bytesFromTarget() {
        return bytesFromTarget.get();
    }

    @Override
    public synchronized void close() {
        servers.forEach(Channel::close);
        group.shutdownGracefully();
    }

    private void accept(Channel accepted, Endpoint target) {
        String source =
                ((InetSocketAddress) accepted.remoteAddress()).getAddress().getHostAddress();
        Route route = new Route(source + ":", target.toString());
        RelayRule.Mode mode = rules.find(route.source(), route.target()).rule().mode();
        if (mode == RelayRule.Mode.CUT || mode == RelayRule.Mode.REFUSE) {
            RelayConnection.reset(accepted);
            return;
        }
        new Bootstrap()
                .group(accepted.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // The handlers are added once both channels are open.
                    }
                })
                .connect(target.socketAddress())
                .addListener((ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        join(accepted, connected.channel(), route);
                    } else {
                        RelayConnection.reset(accepted);
                    }
                });
    }

    private void join(Channel accepted, Channel target, Route route) {
        RelayConnection connection = new RelayConnection(accepted, target, rules.find(route.source(), route.target()));
        connections.put(connection, route);
        accepted.closeFuture().addListener(closed -> connections.remove(connection));
        connection.open(bytesToTarget, bytesFromTarget);
    }

    private void applyRules() {
        connections.forEach((connection, route) -> connection.apply(rules.find(route.source(), route.target())));
    }

    private record Route(String source, String target) {}
}
