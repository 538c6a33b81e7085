package org.coltsfootquay.router.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.router.backend.BackendFailure.Kind;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.channel.StrictResponseDecoder;
import org.coltsfootquay.router.channel.TrafficCounter;
import org.coltsfootquay.router.channel.UnsolicitedBytesHandler;

/**
 * HTTP client with a connection pool for each server and event loop; thread-safe.
 *
 * <p>A call never waits for a pooled connection: the owner of the server limits the number of concurrent calls.
 */
public final class BackendClient {

    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADER_BYTES = 32 * 1024;
    private static final int MAX_CHUNK_BYTES = 16 * 1024;

    /** Maximum number of idle connections kept for each server and event loop. */
    private static final int MAX_IDLE_CONNECTIONS = 64;

    /** Shorter than the keep-alive timeout of servers, so that they rarely close a connection as it is reused. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(15);

    private final EventLoopGroup eventLoops;
    private final TrafficCounter traffic;
    private final ConcurrentHashMap<PoolKey, Pool> pools = new ConcurrentHashMap<>();
    private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    /**
     * Creates a client.
     *
     * @param eventLoops event loops, owned by the caller
     */
    public BackendClient(EventLoopGroup eventLoops) {
        this(eventLoops, new TrafficCounter());
    }

    /**
     * Creates a client that counts the traffic of its connections.
     *
     * @param eventLoops event loops, owned by the caller
     * @param traffic counter of the bytes sent and received on all connections
     */
    public BackendClient(EventLoopGroup eventLoops, TrafficCounter traffic) {
        this.eventLoops = eventLoops;
        this.traffic = traffic;
    }

    /**
     * Sends a request on the next event loop of the group.
     *
     * @param request request
     * @param handler handler of the response
     * @return call in progress
     */
    public BackendCall send(BackendRequest request, BackendHandler handler) {
        return send(eventLoops.next(), request, handler);
    }

    /**
     * Sends a request on the given event loop; the handler is called only on that loop, never from within this method.
     *
     * @param eventLoop event loop of this client's group
     * @param request request
     * @param handler handler of the response
     * @return call in progress
     */
    public BackendCall send(EventLoop eventLoop, BackendRequest request, BackendHandler handler) {
        BackendExchange exchange = new BackendExchange(request, handler);
        Pool pool = pools.computeIfAbsent(new PoolKey(eventLoop, request.address()), key -> new Pool(eventLoop));
        eventLoop.execute(() -> start(pool, exchange));
        return exchange;
    }

    /**
     * Returns the number of open connections to all servers.
     *
     * @return number of connections
     */
    public int connectionCount() {
        return channels.size();
    }

    /** Closes all connections; calls in progress fail. */
    public void close() {
        closed = true;
        channels.forEach(ChannelUtils::close);
    }

    private void start(Pool pool, BackendExchange exchange) {
        PooledConnection idle = pool.take();
        while (idle != null && !idle.channel.isActive()) {
            idle = pool.take();
        }
        if (idle != null) {
            idle.run(exchange);
        } else {
            connect(pool, exchange);
        }
    }

    private void connect(Pool pool, BackendExchange exchange) {
        BackendRequest request = exchange.request();
        if (closed) {
            exchange.fail(Kind.CONNECT, "the client is closed");
            return;
        }
        ChannelFuture connected;
        try {
            connected = new Bootstrap()
                    .group(pool.eventLoop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                            request.connectTimeout().toMillis())
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            PooledConnection connection = new PooledConnection(pool, channel);
                            channel.pipeline()
                                    .addLast(traffic)
                                    .addLast(new UnsolicitedBytesHandler(() -> connection.exchange != null))
                                    .addLast(new HttpRequestEncoder())
                                    .addLast(connection.decoder)
                                    .addLast(connection);
                        }
                    })
                    .connect(ChannelUtils.parseAddress(request.address()));
        } catch (IllegalArgumentException e) {
            exchange.fail(Kind.CONNECT, e.getMessage());
            return;
        }
        connected.addListener(future -> {
            if (future.isSuccess()) {
                connected.channel().pipeline().get(PooledConnection.class).run(exchange);
            } else {
                exchange.fail(Kind.CONNECT, "cannot connect to " + request.address());
            }
        });
    }

    private record PoolKey(EventLoop eventLoop, String address) {}

    /** Idle connections of one event loop to one server; used only on that event loop. */
    private static final class Pool {

        private final EventLoop eventLoop;
        private final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();

        private Pool(EventLoop eventLoop) {
            this.eventLoop = eventLoop;
        }

        private PooledConnection take() {
            return idle.pollLast();
        }

        private boolean put(PooledConnection connection) {
            if (idle.size() >= MAX_IDLE_CONNECTIONS) {
                return false;
            }
            idle.addLast(connection);
            return true;
        }

        private boolean remove(PooledConnection connection) {
            return idle.remove(connection);
        }
    }

    private final class PooledConnection extends SimpleChannelInboundHandler<HttpObject> {

        private final Pool pool;
        private final Channel channel;
        private final StrictResponseDecoder decoder =
                new StrictResponseDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);

        private BackendExchange exchange;
        private Future<?> idleTimer;

        private PooledConnection(Pool pool, Channel channel) {
            this.pool = pool;
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channels.add(channel);
            if (closed) {
                ChannelUtils.close(channel);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (exchange == null) {
                ChannelUtils.close(channel);
                return;
            }
            BackendExchange current = exchange;
            boolean complete = current.handle(part);
            if (complete && current.isKeepAlive()) {
                release();
            } else if (current.hasEnded()) {
                ChannelUtils.close(channel);
            }
            if (complete) {
                current.notifyCompleted();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            channels.remove(channel);
            pool.remove(this);
            if (idleTimer != null) {
                idleTimer.cancel(false);
            }
            if (exchange != null) {
                exchange.fail(Kind.BROKEN, "the server closed the connection");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (exchange != null) {
                exchange.fail(Kind.BROKEN, "connection failed: " + cause.getMessage());
            }
            ChannelUtils.close(channel);
        }

        private void run(BackendExchange next) {
            if (!channel.isActive()) {
                next.fail(Kind.CONNECT, "the server closed the connection before the request was sent");
                return;
            }
            if (idleTimer != null) {
                idleTimer.cancel(false);
            }
            exchange = next;
            if (!next.send(channel)) {
                release();
            }
        }

        private void release() {
            exchange = null;
            channel.config().setAutoRead(true);
            // Bytes behind a response would be read as the beginning of the next one.
            if (!channel.isActive() || decoder.withinMessage() || !pool.put(this)) {
                ChannelUtils.close(channel);
                return;
            }
            idleTimer = channel.eventLoop()
                    .schedule(
                            () -> {
                                if (pool.remove(this)) {
                                    ChannelUtils.close(channel);
                                }
                            },
                            IDLE_TIMEOUT.toNanos(),
                            TimeUnit.NANOSECONDS);
        }
    }
}
