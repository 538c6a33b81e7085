package org.coltsfootquay.router.status;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.coltsfootquay.router.channel.ChannelUtils;

/** HTTP server for status pages. */
public final class StatusServer {

    /** Maximum body size; status requests normally have no body. */
    private static final int MAX_BODY_BYTES = 4096;

    private final EventLoop eventLoop;
    private final Map<String, StatusPage> pages;

    /**
     * Creates a server.
     *
     * @param eventLoop event loop on which the pages run
     * @param pages pages by path
     */
    public StatusServer(EventLoop eventLoop, Map<String, StatusPage> pages) {
        this.eventLoop = eventLoop;
        this.pages = Map.copyOf(pages);
    }

    /**
     * Starts to listen.
     *
     * @param host IP address
     * @param port port
     * @return completes when the socket listens
     */
    public ChannelFuture listen(String host, int port) {
        return new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new Handler());
                    }
                })
                .bind(host, port);
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            StatusPage page = pages.get(uri.path());
            StatusResponse statusResponse = page == null
                    ? new StatusResponse(HttpResponseStatus.NOT_FOUND.code(), "text/plain", "no such page\n")
                    : page.respond(new StatusRequest(
                            uri.parameters(), hostOf(context.channel().remoteAddress())));
            byte[] body = statusResponse.body().getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(statusResponse.status()),
                    Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, statusResponse.contentType());
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (HttpUtil.isKeepAlive(request)) {
                ChannelUtils.send(context.channel(), response);
            } else {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
        }

        private static String hostOf(SocketAddress address) {
            return address instanceof InetSocketAddress socket
                    ? socket.getAddress().getHostAddress()
                    : String.valueOf(address);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            ChannelUtils.close(context.channel());
        }
    }
}
