package org.coltsfootquay.router.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.log.EventLog;

/** HTTP server of a router; thread-safe. */
public final class HttpFrontEnd {

    private static final EventLog LOG = EventLog.of(HttpFrontEnd.class);

    private final EventLoopGroup eventLoops;
    private final HttpLimits limits;
    private final HttpRequestHandler handler;
    private final Set<FrontEndHandler> connections = ConcurrentHashMap.newKeySet();
    private final LongAdder refusedConnections = new LongAdder();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private volatile Channel server;
    private volatile boolean draining;

    /**
     * Creates a server that does not listen until {@link #listen}.
     *
     * @param eventLoops event loops, owned by the caller
     * @param limits limits
     * @param handler handler of all requests
     */
    public HttpFrontEnd(EventLoopGroup eventLoops, HttpLimits limits, HttpRequestHandler handler) {
        this.eventLoops = eventLoops;
        this.limits = limits;
        this.handler = handler;
    }

    /**
     * Starts listening.
     *
     * @param address {@code host:port}; port 0 selects a free port
     * @return future of the bound address; fails if the address cannot be bound
     */
    public CompletableFuture<String> listen(String address) {
        CompletableFuture<String> result = new CompletableFuture<>();
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxLineBytes())
                .setMaxHeaderSize(limits.maxHeaderBytes());
        ChannelFuture bound = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(config))
                                .addLast(new FrontEndHandler(HttpFrontEnd.this, limits));
                    }
                })
                .bind(ChannelUtils.parseAddress(address));
        bound.addListener(future -> {
            if (future.isSuccess()) {
                server = bound.channel();
                result.complete(ChannelUtils.localAddress(server));
            } else {
                result.completeExceptionally(new IllegalStateException(
                        "cannot listen for callers on " + address + "; free the port or change the caller address",
                        future.cause()));
            }
        });
        return result;
    }

    /**
     * Stops listening and closes each connection when no request is in progress on it.
     *
     * @return future that completes when all connections are closed
     */
    public CompletableFuture<Void> drain() {
        draining = true;
        Channel listening = server;
        if (listening != null) {
            ChannelUtils.close(listening);
        }
        connections.forEach(FrontEndHandler::drain);
        if (connections.isEmpty()) {
            drained.complete(null);
        }
        return drained;
    }

    /** Stops listening and closes all connections immediately. */
    public void close() {
        drain().cancel(false);
        connections.forEach(FrontEndHandler::close);
    }

    /**
     * Returns the number of open connections.
     *
     * @return number of connections
     */
    public int connectionCount() {
        return connections.size();
    }

    /**
     * Returns the number of connections that were refused because of the connection limit.
     *
     * @return number of connections
     */
    public long refusedConnections() {
        return refusedConnections.sum();
    }

    boolean draining() {
        return draining;
    }

    boolean register(FrontEndHandler connection) {
        connections.add(connection);
        if (connections.size() > limits.maxConnections()) {
            refusedConnections.increment();
            LOG.warn("connection_refused", "reason", "connection limit reached", "limit", limits.maxConnections());
            return false;
        }
        return !draining;
    }

    void unregister(FrontEndHandler connection) {
        connections.remove(connection);
        if (draining && connections.isEmpty()) {
            drained.complete(null);
        }
    }

    void handle(HttpExchange exchange) {
        handler.handle(exchange);
    }

    void logHandlerFailure(Throwable cause) {
        LOG.warn("handler_failed", "reason", cause);
    }
}
