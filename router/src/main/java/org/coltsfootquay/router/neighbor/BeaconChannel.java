package org.coltsfootquay.router.neighbor;

import com.codahale.metrics.Counter;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.metrics.RouterMetrics;

/** Sends and receives beacons as datagrams, without retransmission: the next beacon replaces a lost one. */
public final class BeaconChannel {

    private static final EventLog LOG = EventLog.of(BeaconChannel.class);

    /** Size of the receive buffer; longer datagrams are cut off, so one that fills it may be incomplete. */
    static final int RECEIVE_BYTES = 2048;

    /** Maximum number of datagrams that one iteration of the event loop reads; bounds the delay of requests. */
    static final int MAX_READS = 256;

    /**
     * Requested size of the socket's receive buffer, bytes; holds the beacons of 100 routers in one second. Linux
     * limits the size to {@code net.core.rmem_max}, and doubles it to account for its own data.
     */
    private static final int SOCKET_BUFFER_BYTES = 512 * 1024;

    private final EventLoop eventLoop;
    private final Consumer<Beacon> receiver;
    private final RouterMetrics metrics;
    private final Counter sent;
    private final Counter received;
    private Channel channel;

    /**
     * Creates a channel.
     *
     * @param eventLoop event loop
     * @param receiver consumer of the beacons of other routers
     * @param metrics metrics, which count datagrams that cannot be read, and iterations that may leave some unread
     */
    public BeaconChannel(EventLoop eventLoop, Consumer<Beacon> receiver, RouterMetrics metrics) {
        this.metrics = metrics;
        this.sent = metrics.counter("coltsfootquay_beacon_datagrams_sent_total");
        this.received = metrics.counter("coltsfootquay_beacon_datagrams_received_total");
        this.eventLoop = eventLoop;
        this.receiver = receiver;
    }

    /**
     * Binds the socket and starts to receive.
     *
     * @param host IP address
     * @param port UDP port
     * @return completes when the socket is bound
     */
    public ChannelFuture listen(String host, int port) {
        ChannelFuture bound = new Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel.class)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(RECEIVE_BYTES).maxMessagesPerRead(MAX_READS))
                .option(ChannelOption.SO_RCVBUF, SOCKET_BUFFER_BYTES)
                .handler(new Handler())
                .bind(host, port);
        channel = bound.channel();
        return bound;
    }

    /**
     * Sends a beacon.
     *
     * @param beacon serialized beacon
     * @param recipient address of the recipient
     */
    public void send(byte[] beacon, InetSocketAddress recipient) {
        sent.inc();
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(beacon), recipient))
                .addListener(result -> {
                    if (!result.isSuccess()) {
                        LOG.warn("beacon_not_sent", "to", recipient, "reason", result.cause());
                    }
                });
    }

    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {

        /** Datagrams read in the current iteration of the event loop. */
        private int reads;

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            reads++;
            received.inc();
            int bytes = packet.content().readableBytes();
            if (bytes >= RECEIVE_BYTES) {
                unreadable(packet, "longer than " + RECEIVE_BYTES + " bytes");
                return;
            }
            Beacon beacon;
            try {
                beacon = Beacon.parseFrom(packet.content().nioBuffer());
            } catch (InvalidProtocolBufferException e) {
                unreadable(packet, e.getMessage());
                return;
            }
            receiver.accept(beacon);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (reads >= MAX_READS) {
                metrics.count("coltsfootquay_beacon_backlogs_total");
            }
            reads = 0;
            context.fireChannelReadComplete();
        }

        private void unreadable(DatagramPacket packet, String reason) {
            metrics.count("coltsfootquay_beacons_unreadable_total");
            LOG.warn("beacon_unreadable", "from", packet.sender(), "reason", reason);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.warn("beacon_channel_error", "reason", cause);
        }
    }
}
