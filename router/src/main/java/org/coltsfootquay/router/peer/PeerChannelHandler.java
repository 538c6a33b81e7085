package org.coltsfootquay.router.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.protocol.generated.Goodbye;
import org.coltsfootquay.protocol.generated.Hello;
import org.coltsfootquay.protocol.generated.Probe;
import org.coltsfootquay.protocol.generated.ProbeReply;
import org.coltsfootquay.router.channel.ChannelUtils;

/**
 * One connection between two routers.
 *
 * <p>The connecting side sends a {@code Hello} with its nonce, the accepting side answers with its own nonce and proof,
 * and the connecting side sends a second {@code Hello} with its proof. Frames follow.
 *
 * <p>A {@code Probe} without a service asks only whether the connection works; the reply returns on the connection.
 */
final class PeerChannelHandler extends SimpleChannelInboundHandler<ByteBuf> {

    private static final Frame GOODBYE =
            Frame.newBuilder().setGoodbye(Goodbye.getDefaultInstance()).build();
    private static final String LOST_FRAMES = "frames were lost in a partition";

    private final PeerNetwork network;
    private final boolean connector;
    /** Router that the connecting side wants to reach; null on the accepting side. */
    private final PeerLink link;

    private final ByteString ownNonce;
    private ByteString peerNonce;
    private PeerIdentity peer;
    private String closeReason = "connection closed by the peer";
    /** True once this side said goodbye: the connection ends without a loss. */
    private boolean idleClose;

    /** True once a frame of the peer or an own one was dropped by the fault switch. */
    private boolean gap;

    private boolean closing;
    private long lastReadNanos = System.nanoTime();
    private Future<?> helloTimer;
    private Future<?> checkTimer;
    private Future<?> closeTimer;

    PeerChannelHandler(PeerNetwork network, PeerLink link) {
        this.network = network;
        this.connector = link != null;
        this.link = link;
        this.ownNonce = network.authenticator().newNonce();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        network.channelOpened(ctx.channel());
        helloTimer = ctx.executor()
                .schedule(
                        () -> violation(ctx, "no valid hello in time"),
                        network.limits().handshakeTimeout().toNanos(),
                        TimeUnit.NANOSECONDS);
        if (connector) {
            sendHello(ctx, ByteString.EMPTY);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
        // Frames that were read together with the one that ended the connection must have no effect.
        if (closing) {
            return;
        }
        if (peer != null && network.isPartitioned(peer.router())) {
            gap = true;
            return;
        }
        if (gap) {
            close(ctx, LOST_FRAMES);
            return;
        }
        int size = bytes.readableBytes();
        Frame frame;
        try {
            frame = Frame.parseFrom(bytes.nioBuffer());
        } catch (InvalidProtocolBufferException e) {
            violation(ctx, "malformed frame");
            return;
        }
        network.counters().recordReceived(frame, size);
        lastReadNanos = System.nanoTime();
        if (peer == null) {
            if (frame.getBodyCase() != Frame.BodyCase.HELLO) {
                violation(ctx, "frame before a valid hello");
            } else {
                hello(ctx, frame.getHello());
            }
            return;
        }
        established(ctx, frame);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancelTimers();
        network.channelClosed(ctx.channel(), link, peer, closeReason, idleClose);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            violation(ctx, "frame larger than " + PeerLimits.MAX_FRAME_BYTES + " bytes");
            return;
        }
        close(ctx, "connection failed: " + cause.getMessage());
    }

    private void hello(ChannelHandlerContext ctx, Hello hello) {
        if (hello.getProtocolVersion() != PeerLimits.PROTOCOL_VERSION) {
            violation(ctx, "protocol version " + hello.getProtocolVersion() + " is not supported");
            return;
        }
        if (hello.getNonce().size() != HelloAuthenticator.NONCE_BYTES
                || hello.getRouter().isBlank()
                || hello.getZone().isBlank()) {
            violation(ctx, "incomplete hello");
            return;
        }
        if (connector) {
            peerNonce = hello.getNonce();
            if (!network.authenticator().verify(hello, false, ownNonce, peerNonce)) {
                violation(ctx, "hello with a wrong proof; check that both routers have the same fleet key");
            } else if (!hello.getRouter().equals(link.peer().value())) {
                violation(ctx, "address belongs to another router");
            } else {
                sendHello(ctx, network.authenticator().computeProof(network.ownHello(), true, ownNonce, peerNonce));
                establish(ctx, hello);
            }
        } else if (peerNonce == null) {
            peerNonce = hello.getNonce();
            sendHello(ctx, network.authenticator().computeProof(network.ownHello(), false, peerNonce, ownNonce));
        } else if (!network.authenticator().verify(hello, true, peerNonce, ownNonce)) {
            violation(ctx, "hello with a wrong proof; check that both routers have the same fleet key");
        } else {
            establish(ctx, hello);
        }
    }

    private void establish(ChannelHandlerContext ctx, Hello hello) {
        PeerIdentity identity = new PeerIdentity(
                new RouterId(hello.getRouter()), hello.getIncarnation(), new ZoneName(hello.getZone()));
        helloTimer.cancel(false);
        if (network.isPartitioned(identity.router())) {
            close(ctx, "cut off by a fault switch");
            return;
        }
        peer = identity;
        long period = network.limits().probeAfter().toNanos() / 2;
        checkTimer = ctx.executor().scheduleAtFixedRate(() -> check(ctx), period, period, TimeUnit.NANOSECONDS);
        if (!network.registerChannel(ctx.channel(), link, peer)) {
            close(ctx, "a newer incarnation of the router is connected");
        }
    }

    private void established(ChannelHandlerContext ctx, Frame frame) {
        switch (frame.getBodyCase()) {
            case HELLO -> violation(ctx, "second hello");
            case GOODBYE -> goodbyeReceived(ctx);
            case BODY_NOT_SET -> {}
            case PROBE -> {
                if (frame.getProbe().getService().isEmpty()) {
                    sendDirectly(
                            ctx,
                            Frame.newBuilder()
                                    .setProbeReply(ProbeReply.getDefaultInstance())
                                    .build());
                } else {
                    network.deliver(peer, frame);
                }
            }
            case PROBE_REPLY -> {
                if (!frame.getProbeReply().getService().isEmpty()) {
                    network.deliver(peer, frame);
                }
            }
            default -> network.deliver(peer, frame);
        }
    }

    private void check(ChannelHandlerContext ctx) {
        long silentNanos = System.nanoTime() - lastReadNanos;
        PeerLimits limits = network.limits();
        boolean lostFrames = gap || network.hasDroppedFrames(ctx.channel(), peer.router());
        if (lostFrames && !network.isPartitioned(peer.router())) {
            close(ctx, LOST_FRAMES);
        } else if (network.inUse(peer.router())) {
            if (silentNanos > limits.receiveTimeout().toNanos()) {
                close(ctx, "no message for " + limits.receiveTimeout().toMillis() + " ms");
            } else if (silentNanos > limits.probeAfter().toNanos()) {
                sendDirectly(
                        ctx,
                        Frame.newBuilder().setProbe(Probe.getDefaultInstance()).build());
            }
        } else if (!idleClose && silentNanos > limits.idleTimeout().toNanos()) {
            sayGoodbye(ctx);
            closeTimer = ctx.executor()
                    .schedule(
                            () -> close(ctx, "no goodbye in time"),
                            limits.handshakeTimeout().toNanos(),
                            TimeUnit.NANOSECONDS);
        }
    }

    private void goodbyeReceived(ChannelHandlerContext ctx) {
        if (!idleClose) {
            sayGoodbye(ctx);
        }
        // An empty write completes after all earlier ones, so that none is cut off by the close.
        ctx.executor()
                .execute(() ->
                        ctx.channel().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> close(ctx, "idle")));
    }

    /** Sends the last frame of this side; frames that other threads handed over before are written first. */
    private void sayGoodbye(ChannelHandlerContext ctx) {
        idleClose = true;
        network.stopSending(ctx.channel(), peer.router());
        ctx.executor().execute(() -> sendDirectly(ctx, GOODBYE));
    }

    private void sendHello(ChannelHandlerContext ctx, ByteString proof) {
        Hello hello = network.ownHello().toBuilder()
                .setNonce(ownNonce)
                .setProof(proof)
                .build();
        sendDirectly(ctx, Frame.newBuilder().setHello(hello).build());
    }

    private void sendDirectly(ChannelHandlerContext ctx, Frame frame) {
        if (peer != null && network.isPartitioned(peer.router())) {
            gap = true;
            return;
        }
        byte[] bytes = PeerLink.encode(frame);
        network.counters().recordSent(frame, bytes.length - PeerCounters.LENGTH_FIELD_BYTES);
        ChannelUtils.send(ctx.channel(), Unpooled.wrappedBuffer(bytes));
    }

    private void violation(ChannelHandlerContext ctx, String reason) {
        if (closing || !ctx.channel().isActive()) {
            return;
        }
        network.recordRejected(ctx.channel(), peer, reason);
        close(ctx, reason);
    }

    private void close(ChannelHandlerContext ctx, String reason) {
        if (!closing) {
            closing = true;
            closeReason = reason;
        }
        ChannelUtils.close(ctx.channel());
    }

    private void cancelTimers() {
        if (helloTimer != null) {
            helloTimer.cancel(false);
        }
        if (checkTimer != null) {
            checkTimer.cancel(false);
        }
        if (closeTimer != null) {
            closeTimer.cancel(false);
        }
    }
}
