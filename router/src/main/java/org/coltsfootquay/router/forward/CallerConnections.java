package org.coltsfootquay.router.forward;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.route.CallerLimits;
import org.coltsfootquay.decision.route.RoutingConfiguration;

/** Listening socket and open connections of callers; runs on one event loop. */
public final class CallerConnections {

    /** Size of the accept queue; a full queue delays the connection of a caller by seconds. */
    private static final int ACCEPT_QUEUE_SIZE = 1024;

    /** Maximum number of reads of one connection in a row, so that others are not delayed. */
    private static final int MAX_READS = 16;

    /** Maximum header size until a configuration is loaded, bytes. */
    private static final int DEFAULT_MAX_HEADER_BYTES = 65536;

    /** Maximum body size until a configuration is loaded, bytes. */
    private static final int DEFAULT_MAX_BODY_BYTES = 4 << 20;

    /** Idle time of connections that may be closed to make room; a new connection is about to send its request. */
    private static final Duration MIN_IDLE_TIME = Duration.ofSeconds(1);

    /** Part of the limit that is closed at a time, so that the connections are not sorted for each new one. */
    private static final int BATCH_DIVISOR = 64;

    private final EventLoop eventLoop;
    private final ForwardingContext context;
    private final Set<CallerConnection> connections = new HashSet<>();
    private boolean draining;
    private boolean acceptingRequests = true;
    private CallerAdmission admission = CallerAdmission.UNLIMITED;

    /**
     * Creates a router's caller connections, without a listening socket.
     *
     * @param eventLoop event loop
     * @param context state shared by all requests
     */
    public CallerConnections(EventLoop eventLoop, ForwardingContext context) {
        this.eventLoop = eventLoop;
        this.context = context;
    }

    /**
     * Sets what decides whether there is room for new requests and connections.
     *
     * @param admission admission of callers
     */
    public void setAdmission(CallerAdmission admission) {
        this.admission = ArgumentUtils.requireValue(admission, "admission");
    }

    CallerAdmission admission() {
        return admission;
    }

    /**
     * Starts to listen for callers.
     *
     * @param host IP address
     * @param port port, 0 for any
     * @return future that completes when the socket listens
     */
    public ChannelFuture listen(String host, int port) {
        return new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE_SIZE)
                .option(ChannelOption.SO_REUSEADDR, true)
                // Reads until the socket is empty, so that the end of a connection is read together with a request.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator()
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS))
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
                .addLast(new StrictRequestDecoder(context.configuration()
                        .map(configuration -> configuration.limits().maxHeaderBytes())
                        .orElse(DEFAULT_MAX_HEADER_BYTES)))
                .addLast(new CallerResponseEncoder())
                .addLast(new CallerConnection(context, this));
    }

    /** Closes connections that exceeded the idle timeout; to be called about once per second. */
    public void closeIdle() {
        RoutingConfiguration configuration = context.configuration().orElse(null);
        if (configuration == null) {
            return;
        }
        CallerLimits limits = configuration.limits();
        long now = context.timers().nowNanos();
        List.copyOf(connections)
                .forEach(connection -> connection.closeIfIdle(limits.idleTimeout(), limits.headerTimeout(), now));
    }

    /** Starts to close each connection after its next response; new requests are still served. */
    void startDraining() {
        draining = true;
    }

    /** Starts to reject new requests as not executed and closes connections without a request in progress. */
    void rejectNewRequests() {
        acceptingRequests = false;
        List.copyOf(connections).forEach(CallerConnection::closeUnlessBusy);
    }

    /** Responds to each caller that waits, since the process is about to end. */
    void endRequests() {
        acceptingRequests = false;
        List.copyOf(connections).forEach(CallerConnection::endRequest);
    }

    /**
     * Returns the number of connections with a request in progress.
     *
     * @return count
     */
    public long busyCount() {
        return connections.stream().filter(CallerConnection::busy).count();
    }

    /**
     * Returns the number of open connections.
     *
     * @return count
     */
    public int openCount() {
        return connections.size();
    }

    /**
     * Returns the number of connections that cannot be closed to make room for others.
     *
     * @return count of those with a request in progress and those that have not been idle for long
     */
    public int occupiedCount() {
        long idleBefore = context.timers().nowNanos() - MIN_IDLE_TIME.toNanos();
        return (int) connections.stream()
                .filter(connection -> connection.busy() || connection.idleSinceNanos() - idleBefore >= 0)
                .count();
    }

    boolean draining() {
        return draining;
    }

    boolean acceptingRequests() {
        return acceptingRequests;
    }

    int maxBodyBytes() {
        return context.configuration()
                .map(configuration -> configuration.limits().maxBodyBytes())
                .orElse(DEFAULT_MAX_BODY_BYTES);
    }

    /**
     * Adds a connection; above the limit, those that have been idle longest are closed.
     *
     * @return false if the limit is exceeded and too few other connections are idle
     */
    boolean add(CallerConnection connection) {
        int excess = connections.size() + 1 - admission.maxConnections();
        int closed = excess > 0 ? closeLongestIdle(excess + admission.maxConnections() / BATCH_DIVISOR) : 0;
        connections.add(connection);
        return closed >= excess;
    }

    private int closeLongestIdle(int count) {
        long idleBefore = context.timers().nowNanos() - MIN_IDLE_TIME.toNanos();
        List<CallerConnection> idle = connections.stream()
                .filter(connection -> !connection.busy() && connection.idleSinceNanos() - idleBefore < 0)
                .sorted(Comparator.comparingLong(connection -> connection.idleSinceNanos() - idleBefore))
                .limit(count)
                .toList();
        idle.forEach(CallerConnection::closeUnlessBusy);
        context.metrics()
                .counter("coltsfootquay_idle_caller_connections_closed_total")
                .inc(idle.size());
        return idle.size();
    }

    void remove(CallerConnection connection) {
        connections.remove(connection);
    }
}
