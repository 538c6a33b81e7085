package org.coltsfootquay.standin.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicReference;
import org.jboss.logging.Logger;

/** HTTP server on a loopback address; all its connections run on one event loop. */
public final class StandInServer implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(StandInServer.class);
    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
    private static final int BACKLOG = 1024;

    private final EventLoop loop;
    private final RequestHandler handler;
    private final ChannelGroup connections;
    private final AtomicReference<Channel> listener = new AtomicReference<>();

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop event loop of the server and of its handler
     * @param handler handles requests on the event loop
     */
    public StandInServer(EventLoop loop, RequestHandler handler) {
        this.loop = loop;
        this.handler = handler;
        this.connections = new DefaultChannelGroup(loop);
    }

    /**
     * Starts to listen on 127.0.0.1.
     *
     * @param port port, or 0 for any free one
     * @throws IllegalStateException if the server listens already or the port is taken
     */
    public void start(int port) {
        if (listener.get() != null) {
            throw new IllegalStateException("the stand-in listens already; close it before the next start");
        }
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new Initializer());
        ChannelFuture bound = bootstrap.bind("127.0.0.1", port).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException(
                    "cannot listen on 127.0.0.1:" + port + "; choose a free port or 0", bound.cause());
        }
        listener.set(bound.channel());
    }

    /**
     * Returns the address of the server.
     *
     * @return {@code host:port}
     * @throws IllegalStateException if the server does not listen
     */
    public String address() {
        Channel channel = listener.get();
        if (channel == null) {
            throw new IllegalStateException("the stand-in has no address before start()");
        }
        InetSocketAddress address = (InetSocketAddress) channel.localAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Returns the event loop of the server.
     *
     * @return event loop
     */
    public EventLoop loop() {
        return loop;
    }

    /** Breaks all connections; the server continues to listen. */
    public void breakConnections() {
        await(connections.close());
    }

    /** Stops listening and breaks all connections. */
    @Override
    public void close() {
        Channel channel = listener.getAndSet(null);
        if (channel == null) {
            return;
        }
        await(channel.close());
        await(connections.close());
    }

    private void await(Future<?> future) {
        if (!loop.inEventLoop()) {
            future.awaitUninterruptibly();
        }
    }

    private final class Initializer extends ChannelInitializer<Channel> {

        @Override
        protected void initChannel(Channel channel) {
            connections.add(channel);
            channel.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                    .addLast(new Requests());
        }
    }

    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {

        private Exchange current;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Exchange exchange = new Exchange(context.channel(), request);
            current = exchange;
            try {
                handler.handle(exchange);
            } catch (RuntimeException e) {
                LOG.errorf(e, "event=standin_failed method=%s path=%s", exchange.method(), exchange.path());
                exchange.answerError(500, "internal", "the stand-in failed; see its log");
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (current != null) {
                current.connectionEnded();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debugf("event=standin_connection_broken cause=%s", cause);
            context.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }
    }
}
