package org.coltsfootquay.router.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.backend.ConnectionReuse;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.channel.StrictResponseDecoder;
import org.coltsfootquay.router.log.EventLog;

/** Pool of persistent connections to backend servers; runs on one event loop. */
public final class ServerConnectionPool {

    private static final EventLog LOG = EventLog.of(ServerConnectionPool.class);

    /** Maximum time to establish a connection; a reachable server accepts within a few milliseconds. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(350);

    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_HEADER_BYTES = 65536;
    private static final int MAX_CHUNK_BYTES = 65536;

    /** Number of unanswered keep-alive probes after which a connection is closed. */
    private static final int KEEP_ALIVE_PROBE_COUNT = 3;

    private final EventLoop eventLoop;
    private final RequestDialect dialect;
    private final LongSupplier clock;
    private final ResponseLimits responseLimits;
    private final Map<ServerName, Deque<ServerConnection>> idle = new HashMap<>();
    private final Map<ServerName, Integer> open = new HashMap<>();
    private final ConnectionReuse connectionReuse = new ConnectionReuse();
    private long openedCount;
    private long unsolicitedCount;

    /**
     * Creates an empty pool.
     *
     * @param eventLoop event loop of all connections
     * @param dialect header mapping of the platform
     * @param clock monotonic time in nanoseconds
     * @param responseLimits limits of responses
     */
    public ServerConnectionPool(
            EventLoop eventLoop, RequestDialect dialect, LongSupplier clock, ResponseLimits responseLimits) {
        this.responseLimits = ArgumentUtils.requireValue(responseLimits, "responseLimits");
        this.eventLoop = ArgumentUtils.requireValue(eventLoop, "eventLoop");
        this.dialect = ArgumentUtils.requireValue(dialect, "dialect");
        this.clock = ArgumentUtils.requireValue(clock, "clock");
    }

    /**
     * Returns the number of connections that were opened so far.
     *
     * @return count
     */
    public long openedCount() {
        return openedCount;
    }

    /**
     * Returns the number of connections to a server.
     *
     * @param server server
     * @return number of open connections, idle or in use
     */
    public int openCount(ServerName server) {
        return open.getOrDefault(server, 0);
    }

    /**
     * Returns how often servers have sent bytes that belong to no request in progress.
     *
     * @return count
     */
    public long unsolicitedCount() {
        return unsolicitedCount;
    }

    /**
     * Returns the number of servers whose connections are or were recently not reused.
     *
     * @return number of servers
     */
    public int unsolicitedServerCount() {
        return connectionReuse.size();
    }

    /** Returns the limits of responses. */
    ResponseLimits responseLimits() {
        return responseLimits;
    }

    /** Provides an idle or a new connection; the second callback receives the reason if connecting fails. */
    void acquire(BackendEntry server, Consumer<ServerConnection> onConnected, Consumer<String> onFailure) {
        Deque<ServerConnection> idleConnections = idle.get(server.server());
        while (idleConnections != null && !idleConnections.isEmpty()) {
            ServerConnection connection = idleConnections.pollLast();
            if (connection.usable(clock.getAsLong())
                    && connection.server().host().equals(server.host())
                    && connection.server().port() == server.port()) {
                onConnected.accept(connection);
                return;
            }
            connection.discard();
        }
        connect(server, onConnected, onFailure);
    }

    /** Returns whether connections to a server are kept for further requests. */
    boolean keepsConnections(BackendEntry server) {
        return connectionReuse.isPermitted(server, clock.getAsLong());
    }

    /** Records that a server has sent bytes that belong to no request, so that its connections are not reused. */
    void unsolicitedBytesReceived(BackendEntry server) {
        unsolicitedCount++;
        if (connectionReuse.recordUnsolicited(server, clock.getAsLong())) {
            LOG.warn("connections_not_reused", "server", server.server());
            closeIdle(server.server());
        }
    }

    /** Closes the idle connections to a server. */
    void closeIdle(ServerName server) {
        Deque<ServerConnection> idleConnections = idle.remove(server);
        if (idleConnections != null) {
            idleConnections.forEach(ServerConnection::discard);
        }
    }

    /** Closes connections that exceeded their idle time, so that servers do not keep them open unnecessarily. */
    public void closeExpired() {
        long now = clock.getAsLong();
        connectionReuse.removeExpired(now);
        for (Deque<ServerConnection> idleConnections : idle.values()) {
            idleConnections.removeIf(connection -> {
                boolean expired = !connection.usable(now);
                if (expired) {
                    connection.discard();
                }
                return expired;
            });
        }
    }

    /** Takes back a connection without a request in progress, and keeps it if it may carry another request. */
    void release(ServerConnection connection) {
        if (keepsConnections(connection.server())) {
            idle.computeIfAbsent(connection.server().server(), name -> new ArrayDeque<>())
                    .addLast(connection);
        } else {
            connection.discard();
        }
    }

    void connectionClosed(ServerConnection connection) {
        ServerName server = connection.server().server();
        open.computeIfPresent(server, (name, count) -> count <= 1 ? null : count - 1);
        Deque<ServerConnection> idleConnections = idle.get(server);
        if (idleConnections != null) {
            idleConnections.remove(connection);
        }
    }

    private void connect(BackendEntry server, Consumer<ServerConnection> onConnected, Consumer<String> onFailure) {
        openedCount++;
        StrictResponseDecoder decoder = new StrictResponseDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
        ServerConnection connection = new ServerConnection(server, this, dialect, openedCount, decoder);
        ChannelUtils.probeIdle(new Bootstrap(), KEEP_ALIVE_PROBE_COUNT)
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                // Reports the orderly end of the input, which a closed connection does not tell from a reset.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(new ReceivedBytesHandler(connection))
                                .addLast(decoder)
                                .addLast(connection);
                    }
                })
                .connect(server.host(), server.port())
                .addListener(result -> {
                    if (result.isSuccess()) {
                        open.merge(server.server(), 1, Integer::sum);
                        onConnected.accept(connection);
                    } else {
                        onFailure.accept(result.cause().getClass().getSimpleName());
                    }
                });
    }
}
