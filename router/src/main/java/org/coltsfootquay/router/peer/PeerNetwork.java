package org.coltsfootquay.router.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Predicate;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.protocol.generated.Hello;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.log.EventLog;

/**
 * Connections of this router to other routers, made on demand and closed when idle.
 *
 * <p>Thread-safe. One connection serves both directions of a pair. When both routers connect at the same moment, each
 * side keeps sending on the connection it began with, so that the order of its frames stays, until one falls idle.
 */
public final class PeerNetwork {

    private static final EventLog LOG = EventLog.of(PeerNetwork.class);

    private final PeerIdentity self;
    private final Hello ownHello;
    private final HelloAuthenticator authenticator;
    private final EventLoopGroup eventLoops;
    private final PeerLimits limits;
    private final Function<RouterId, Optional<String>> addresses;
    private final Predicate<RouterId> inUse;
    private final PeerListener listener;
    private final PeerCounters counters = new PeerCounters();
    private final ConcurrentHashMap<RouterId, PeerLink> links = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<RouterId, Long> incarnations = new ConcurrentHashMap<>();
    private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
    private volatile Predicate<RouterId> setPartitionedRouters = router -> false;
    private volatile Channel server;
    private volatile boolean channelClosed;

    /**
     * Creates a network that neither listens nor connects yet.
     *
     * @param self identity of this router
     * @param fleetKey key that all routers of the fleet share
     * @param eventLoops event loops, owned by the caller
     * @param limits limits
     * @param addresses looks up the {@code host:port} of a router
     * @param inUse tells whether a lost connection to the router would matter now
     * @param listener receiver of frames
     */
    public PeerNetwork(
            PeerIdentity self,
            byte[] fleetKey,
            EventLoopGroup eventLoops,
            PeerLimits limits,
            Function<RouterId, Optional<String>> addresses,
            Predicate<RouterId> inUse,
            PeerListener listener) {
        this.self = self;
        this.ownHello = Hello.newBuilder()
                .setProtocolVersion(PeerLimits.PROTOCOL_VERSION)
                .setRouter(self.router().value())
                .setIncarnation(self.incarnation())
                .setZone(self.zone().value())
                .build();
        this.authenticator = new HelloAuthenticator(fleetKey);
        this.eventLoops = eventLoops;
        this.limits = limits;
        this.addresses = addresses;
        this.inUse = inUse;
        this.listener = listener;
    }

    /**
     * Starts to listen.
     *
     * @param address {@code host:port}; port 0 picks a free one
     * @return the address that is listened on, or the failure to bind
     */
    public CompletableFuture<String> listen(String address) {
        CompletableFuture<String> result = new CompletableFuture<>();
        ChannelFuture bound = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(null))
                .bind(ChannelUtils.parseAddress(address));
        bound.addListener(future -> {
            if (future.isSuccess()) {
                server = bound.channel();
                result.complete(ChannelUtils.localAddress(server));
            } else {
                result.completeExceptionally(new IllegalStateException(
                        "cannot listen for routers on " + address + "; free the port or change the peer address",
                        future.cause()));
            }
        });
        return result;
    }

    /**
     * Sends a frame, connecting first if needed.
     *
     * @param peer receiver
     * @param frame frame
     * @return what became of the frame; only {@link SendResult#ACCEPTED} frames are sent
     */
    public SendResult send(RouterId peer, Frame frame) {
        if (frame.getSerializedSize() > PeerLimits.MAX_FRAME_BYTES) {
            return SendResult.TOO_LARGE;
        }
        while (!channelClosed) {
            PeerLink link = links.get(peer);
            if (link == null) {
                Optional<String> address = addresses.apply(peer);
                if (address.isEmpty()) {
                    return SendResult.UNKNOWN_PEER;
                }
                PeerLink created = new PeerLink(peer, limits.maxQueuedBytes(), counters);
                link = links.putIfAbsent(peer, created);
                if (link == null) {
                    link = created;
                    connect(link, address.get());
                }
            }
            if (isPartitioned(peer)) {
                link.markFrameDropped();
                return SendResult.ACCEPTED;
            }
            SendResult result = link.hasDroppedFrames() ? SendResult.CLOSED : link.offer(frame);
            if (result != SendResult.CLOSED) {
                return result;
            }
            links.remove(peer, link);
            if (link.hasDroppedFrames()) {
                abandon(link);
            }
        }
        return SendResult.CLOSED;
    }

    /**
     * Sends a frame to each router with an open connection.
     *
     * @param frame frame
     */
    public void sendToConnected(Frame frame) {
        links.keySet().forEach(peer -> send(peer, frame));
    }

    /**
     * Returns the counters of frames and bytes.
     *
     * @return counters
     */
    public PeerCounters counters() {
        return counters;
    }

    /**
     * Returns the number of open connections.
     *
     * @return connections in both directions
     */
    public int connectionCount() {
        return channels.size();
    }

    /**
     * Fault switch: drops all frames to and from some routers, as a partition does.
     *
     * <p>A connection that lost a frame is closed after the partition, since no later frame may follow a gap.
     *
     * @param routers routers to cut off
     */
    public void setPartitionedRouters(Predicate<RouterId> routers) {
        this.setPartitionedRouters = routers;
    }

    /** Stops listening and closes all connections; later sends are refused. */
    public void close() {
        channelClosed = true;
        Channel listening = server;
        if (listening != null) {
            ChannelUtils.close(listening);
        }
        channels.forEach(ChannelUtils::close);
    }

    PeerLimits limits() {
        return limits;
    }

    HelloAuthenticator authenticator() {
        return authenticator;
    }

    Hello ownHello() {
        return ownHello;
    }

    boolean inUse(RouterId peer) {
        return inUse.test(peer);
    }

    boolean isPartitioned(RouterId peer) {
        return setPartitionedRouters.test(peer);
    }

    void channelOpened(Channel channel) {
        channels.add(channel);
        if (channelClosed) {
            ChannelUtils.close(channel);
        }
    }

    /** Keeps later frames off a connection that is about to close; they need a new one. */
    void stopSending(Channel channel, RouterId peer) {
        PeerLink sending = links.get(peer);
        if (sending != null && sending.channel() == channel) {
            sending.close();
            links.remove(peer, sending);
        }
    }

    /** Tells whether a frame to the peer was dropped on a connection that is open. */
    boolean hasDroppedFrames(Channel channel, RouterId peer) {
        PeerLink sending = links.get(peer);
        return sending != null && sending.channel() == channel && sending.hasDroppedFrames();
    }

    /** Registers an authenticated connection; false when it must be closed. */
    boolean registerChannel(Channel channel, PeerLink link, PeerIdentity peer) {
        long newest = incarnations.merge(peer.router(), peer.incarnation(), Math::max);
        if (newest > peer.incarnation()) {
            return false;
        }
        if (link != null) {
            return link.open(channel);
        }
        PeerLink accepted = new PeerLink(peer.router(), limits.maxQueuedBytes(), counters);
        if (accepted.open(channel)) {
            links.putIfAbsent(peer.router(), accepted);
        }
        return true;
    }

    void deliver(PeerIdentity peer, Frame frame) {
        if (!channelClosed) {
            listener.frameReceived(peer, frame);
        }
    }

    void recordRejected(Channel channel, PeerIdentity peer, String reason) {
        counters.recordRejected();
        LOG.warn(
                "peer_refused",
                "router",
                self.router(),
                "peer",
                peer == null ? "unknown" : peer.router(),
                "address",
                channel.remoteAddress(),
                "reason",
                reason);
    }

    void channelClosed(Channel channel, PeerLink link, PeerIdentity peer, String reason, boolean idle) {
        RouterId router = peer != null ? peer.router() : link != null ? link.peer() : null;
        if (router == null) {
            channels.remove(channel);
            return;
        }
        PeerLink sending = links.get(router);
        boolean wasSending = sending != null && (sending == link || sending.channel() == channel);
        if (wasSending) {
            sending.close();
            links.remove(router, sending);
        }
        // Only now: a frame accepted by the link after the connection was counted as closed would be lost.
        channels.remove(channel);
        boolean quiet = idle || (peer != null && !inUse(router));
        if (!channelClosed && !quiet) {
            lost(router, reason);
        }
    }

    private static void abandon(PeerLink link) {
        link.close();
        Channel channel = link.channel();
        if (channel != null) {
            ChannelUtils.close(channel);
        }
    }

    private void connect(PeerLink link, String address) {
        if (isPartitioned(link.peer())) {
            eventLoops.execute(() -> connectFailed(link, "cut off by a fault switch"));
            return;
        }
        ChannelFuture connected;
        try {
            connected = new Bootstrap()
                    .group(eventLoops)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                            limits.connectTimeout().toMillis())
                    .handler(initializer(link))
                    .connect(ChannelUtils.parseAddress(address));
        } catch (IllegalArgumentException e) {
            eventLoops.execute(() -> connectFailed(link, e.getMessage()));
            return;
        }
        connected.addListener(future -> {
            if (!future.isSuccess()) {
                connectFailed(link, "cannot connect to " + address);
            }
        });
    }

    private void connectFailed(PeerLink link, String reason) {
        link.close();
        links.remove(link.peer(), link);
        if (!channelClosed) {
            lost(link.peer(), reason);
        }
    }

    private void lost(RouterId peer, String reason) {
        LOG.info("peer_lost", "router", self.router(), "peer", peer, "reason", reason);
        listener.peerLost(peer, reason);
    }

    private ChannelInitializer<Channel> initializer(PeerLink link) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(new LengthFieldBasedFrameDecoder(
                                PeerLimits.MAX_FRAME_BYTES + PeerCounters.LENGTH_FIELD_BYTES,
                                0,
                                PeerCounters.LENGTH_FIELD_BYTES,
                                0,
                                PeerCounters.LENGTH_FIELD_BYTES))
                        .addLast(new PeerChannelHandler(PeerNetwork.this, link));
            }
        };
    }
}
