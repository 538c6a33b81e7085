package org.coltsfootquay.router.channel;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import jdk.net.ExtendedSocketOptions;

/** Utility methods for Netty channels and socket addresses. */
public final class ChannelUtils {

    /** Idle time before the first keep-alive probe and time between probes, seconds; the shortest possible. */
    private static final int PROBE_SECONDS = 1;

    private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");

    /** Characters of a malformed address that an error message quotes. */
    private static final int MAX_QUOTED_CHARACTERS = 60;

    private ChannelUtils() {}

    /**
     * Makes the connections of a bootstrap send TCP keep-alive probes while they are idle, so that a connection that
     * went silent without a reset is closed.
     *
     * @param bootstrap bootstrap of NIO sockets
     * @param unansweredProbes number of unanswered probes after which a connection is closed, one second apart
     * @return the bootstrap
     */
    public static Bootstrap probeIdle(Bootstrap bootstrap, int unansweredProbes) {
        return bootstrap
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), unansweredProbes);
    }

    /**
     * Writes a message and flushes; a failed write closes the channel.
     *
     * @param channel channel
     * @param message message; ownership passes to the channel
     */
    public static void send(Channel channel, Object message) {
        ChannelFuture written = channel.writeAndFlush(message);
        written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /**
     * Closes a channel without waiting.
     *
     * @param channel channel
     */
    public static void close(Channel channel) {
        ChannelFuture closed = channel.close();
        closed.addListener(future -> {});
    }

    /**
     * Creates a group of NIO event loops with daemon threads.
     *
     * @param name prefix of the thread names
     * @param threads number of threads
     * @return the group
     */
    public static EventLoopGroup eventLoops(String name, int threads) {
        return new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    /**
     * Shuts down a group of event loops.
     *
     * @param group group
     * @return completes when all threads have ended
     */
    public static CompletableFuture<Void> shutDown(EventLoopGroup group) {
        CompletableFuture<Void> result = new CompletableFuture<>();
        io.netty.util.concurrent.Future<?> ended = group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
        ended.addListener(future -> result.complete(null));
        return result;
    }

    /**
     * Parses an address.
     *
     * @param address text of the form {@code host:port}; an IPv6 host is enclosed in square brackets
     * @return socket address; no name is resolved if the host is an IP address
     * @throws IllegalArgumentException if the text has a different form
     */
    public static InetSocketAddress parseAddress(String address) {
        int colon = address.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("address \"" + address + "\" is not of the form host:port");
        }
        String host = address.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        }
        try {
            return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("address \"" + address + "\" has no valid port number", e);
        }
    }

    /**
     * Parses an address whose host is an IP address, without resolving any name.
     *
     * @param address text of the form {@code ip:port}; an IPv6 address is enclosed in square brackets
     * @return socket address
     * @throws IllegalArgumentException if the text has a different form
     */
    public static InetSocketAddress parseIpAddress(String address) {
        int colon = address.lastIndexOf(':');
        String host = colon < 0 ? address : address.substring(0, colon);
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        boolean validHost = bracketed ? NetUtil.isValidIpV6Address(host) : NetUtil.isValidIpV4Address(host);
        if (!validHost || !PORT.matcher(address.substring(colon + 1)).matches()) {
            throw new IllegalArgumentException("address \"" + shorten(address) + "\" is not of the form ip:port");
        }
        return parseAddress(address);
    }

    private static String shorten(String text) {
        return text.length() <= MAX_QUOTED_CHARACTERS ? text : text.substring(0, MAX_QUOTED_CHARACTERS) + "...";
    }

    /**
     * Formats the local address of a bound channel.
     *
     * @param channel channel
     * @return text of the form {@code host:port}
     */
    public static String localAddress(Channel channel) {
        InetSocketAddress address = (InetSocketAddress) channel.localAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
