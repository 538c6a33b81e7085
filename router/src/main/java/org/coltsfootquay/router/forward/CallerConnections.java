package org.coltsfootquay.router.forward;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.coltsfootquay.decision.route.CallerLimits;
import org.coltsfootquay.decision.route.RoutingConfiguration;

/** Listening socket and open connections of callers; runs on one event loop. */
public final class CallerConnections {

    /** Connections that wait to be accepted; a full queue costs a caller seconds. */
    private static final int ACCEPT_QUEUE = 1024;

    /** Largest header before a configuration is known, bytes. */
    private static final int DEFAULT_HEADER_BYTES = 65536;

    /** Largest body before a configuration is known, bytes. */
    private static final int DEFAULT_BODY_BYTES = 4 << 20;

    private final EventLoop eventLoop;
    private final ForwardingContext forwarding;
    private final Set<CallerConnection> openCount = new HashSet<>();
    private boolean draining;
    private boolean acceptingRequests = true;

    /**
     * Creates the connections of a router.
     *
     * @param eventLoop event loop
     * @param forwarding state that requests share
     */
    public CallerConnections(EventLoop eventLoop, ForwardingContext forwarding) {
        this.eventLoop = eventLoop;
        this.forwarding = forwarding;
    }

    /**
     * Begins to accept callers.
     *
     * @param host IP address
     * @param port port, 0 for any
     * @return completes when the socket listens
     */
    public ChannelFuture listen(String host, int port) {
        return new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        initialize(channel);
                    }
                })
                .bind(host, port);
    }

    private void initialize(Channel channel) {
        channel.pipeline()
                .addLast(new StrictRequestDecoder(forwarding
                        .configuration()
                        .map(configuration -> configuration.limits().maxHeaderBytes())
                        .orElse(DEFAULT_HEADER_BYTES)))
                .addLast(new HttpResponseEncoder())
                .addLast(new CallerConnection(forwarding, this));
    }

    /** Closes connections that were idle for too long; to be called about once a second. */
    public void closeIdle() {
        RoutingConfiguration configuration = forwarding.configuration().orElse(null);
        if (configuration == null) {
            return;
        }
        CallerLimits limits = configuration.limits();
        long now = forwarding.timers().nowNanos();
        List.copyOf(openCount)
                .forEach(connection -> connection.closeIfIdle(limits.idleTimeout(), limits.headerTimeout(), now));
    }

    /** Ends connections after their next answer; new requests are still served. */
    public void startDraining() {
        draining = true;
    }

    /** Refuses new requests as not run and closes connections without a request. */
    public void rejectNewRequests() {
        acceptingRequests = false;
        List.copyOf(openCount).forEach(CallerConnection::closeUnlessBusy);
    }

    /**
     * Returns the number of connections with a request in progress.
     *
     * @return count
     */
    public long busyCount() {
        return openCount.stream().filter(CallerConnection::busy).count();
    }

    /**
     * Returns the number of open connections.
     *
     * @return count
     */
    public int openCount() {
        return openCount.size();
    }

    boolean draining() {
        return draining;
    }

    boolean acceptingRequests() {
        return acceptingRequests;
    }

    int maxBodyBytes() {
        return forwarding
                .configuration()
                .map(configuration -> configuration.limits().maxBodyBytes())
                .orElse(DEFAULT_BODY_BYTES);
    }

    void add(CallerConnection connection) {
        openCount.add(connection);
    }

    void remove(CallerConnection connection) {
        openCount.remove(connection);
    }
}
