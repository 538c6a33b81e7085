package org.coltsfootquay.router.channel;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.ServerSocket;
import jdk.net.ExtendedSocketOptions;
import org.junit.jupiter.api.Test;

/** Guards against a watch that waits for its whole duration on a connection that went silent without a reset. */
final class ConnectionProbeTest {

    @Test
    void idleConnectionIsProbedEachSecond() throws Exception {
        EventLoopGroup group = ChannelUtils.eventLoops("probe-test", 1);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Channel channel = ChannelUtils.probeIdle(new Bootstrap(), 2)
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(server.getInetAddress(), server.getLocalPort())
                    .sync()
                    .channel();
            assertEquals(true, channel.config().getOption(ChannelOption.SO_KEEPALIVE));
            assertEquals(1, channel.config().getOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE)));
            assertEquals(1, channel.config().getOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL)));
            assertEquals(2, channel.config().getOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT)));
            ChannelUtils.close(channel);
        } finally {
            ChannelUtils.shutDown(group).join();
        }
    }
}
