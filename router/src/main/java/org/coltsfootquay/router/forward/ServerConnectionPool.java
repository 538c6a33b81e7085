package org.coltsfootquay.router.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import jdk.net.ExtendedSocketOptions;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServerName;

/** Connections to backend servers, kept open between requests; runs on one event loop. */
public final class ServerConnectionPool {

    /** Time to establish a connection; a server in reach accepts within a few milliseconds. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(350);

    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_HEADER_BYTES = 65536;
    private static final int MAX_CHUNK_BYTES = 65536;

    /** Keep-alive probes find connections that went silent: idle time, interval (seconds) and count. */
    private static final int PROBE_SECONDS = 1;

    private static final int PROBE_COUNT = 3;

    private final EventLoop eventLoop;
    private final RequestDialect dialect;
    private final LongSupplier clock;
    private final Map<ServerName, Deque<ServerConnection>> idle = new HashMap<>();
    private final Map<ServerName, Integer> open = new HashMap<>();
    private long openedCount;

    /**
     * Creates an empty pool.
     *
     * @param eventLoop event loop of all connections
     * @param dialect names of headers
     * @param clock monotonic time in nanoseconds
     */
    public ServerConnectionPool(EventLoop eventLoop, RequestDialect dialect, LongSupplier clock) {
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
     * @return open connections, idle or not
     */
    public int openCount(ServerName server) {
        return open.getOrDefault(server, 0);
    }

    /** Provides an idle or a new connection; the second callback gets the reason if there is none. */
    void acquire(BackendEntry server, Consumer<ServerConnection> ready, Consumer<String> failed) {
        Deque<ServerConnection> kept = idle.get(server.server());
        while (kept != null && !kept.isEmpty()) {
            ServerConnection connection = kept.pollLast();
            if (connection.usable(clock.getAsLong())
                    && connection.server().host().equals(server.host())
                    && connection.server().port() == server.port()) {
                ready.accept(connection);
                return;
            }
            connection.discard();
        }
        connect(server, ready, failed);
    }

    /** Closes the idle connections to a server. */
    void closeIdle(ServerName server) {
        Deque<ServerConnection> kept = idle.remove(server);
        if (kept != null) {
            kept.forEach(ServerConnection::discard);
        }
    }

    /** Closes idle connections that are too old, so that servers do not keep them in vain. */
    public void closeExpired() {
        long now = clock.getAsLong();
        for (Deque<ServerConnection> kept : idle.values()) {
            kept.removeIf(connection -> {
                boolean expired = !connection.usable(now);
                if (expired) {
                    connection.discard();
                }
                return expired;
            });
        }
    }

    void release(ServerConnection connection) {
        idle.computeIfAbsent(connection.server().server(), name -> new ArrayDeque<>())
                .addLast(connection);
    }

    void connectionClosed(ServerConnection connection) {
        ServerName server = connection.server().server();
        open.computeIfPresent(server, (name, count) -> count <= 1 ? null : count - 1);
        Deque<ServerConnection> kept = idle.get(server);
        if (kept != null) {
            kept.remove(connection);
        }
    }

    private void connect(BackendEntry server, Consumer<ServerConnection> ready, Consumer<String> failed) {
        ServerConnection connection = new ServerConnection(server, this, dialect);
        openedCount++;
        new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBE_COUNT)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(new HttpResponseDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                                .addLast(connection);
                    }
                })
                .connect(server.host(), server.port())
                .addListener(result -> {
                    if (result.isSuccess()) {
                        open.merge(server.server(), 1, Integer::sum);
                        ready.accept(connection);
                    } else {
                        failed.accept(result.cause().getClass().getSimpleName());
                    }
                });
    }
}
