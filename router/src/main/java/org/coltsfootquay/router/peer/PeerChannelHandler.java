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
 * Handles one connection between two routers.
 *
 * <p>The initiator sends a {@code Hello} with its nonce, the responder replies with its own nonce and proof, and the
 * initiator sends a second {@code Hello} with its proof. Other frames follow this handshake.
 *
 * <p>A {@code Probe} without a service only checks that the connection is alive; the reply is sent on the same
 * connection.
 */
final class PeerChannelHandler extends SimpleChannelInboundHandler<ByteBuf> {

    private static final Frame GOODBYE =
            Frame.newBuilder().setGoodbye(Goodbye.getDefaultInstance()).build();
    private static final String FRAMES_DROPPED = "frames were dropped during an injected partition";

    private final PeerNetwork network;
    private final boolean initiator;
    /** Outgoing side at the initiator; null at the responder. */
    private final PeerLink link;

    private final ByteString ownNonce;
    private ByteString peerNonce;
    private PeerIdentity peer;
    private String closeReason = "connection closed by the peer";
    /** Whether this side sent {@code Goodbye}, after which the connection closes without a loss. */
    private boolean goodbyeSent;

    /** Whether a frame in either direction was dropped by an injected partition. */
    private boolean frameDropped;

    private boolean closing;
    private long lastReadNanos = System.nanoTime();
    private Future<?> handshakeTimer;
    private Future<?> livenessTimer;
    private Future<?> closeTimer;

    PeerChannelHandler(PeerNetwork network, PeerLink link) {
        this.network = network;
        this.initiator = link != null;
        this.link = link;
        this.ownNonce = network.authenticator().newNonce();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        network.channelOpened(ctx.channel());
        handshakeTimer = ctx.executor()
                .schedule(
                        () -> reject(ctx, "no valid hello before the handshake timeout"),
                        network.limits().handshakeTimeout().toNanos(),
                        TimeUnit.NANOSECONDS);
        if (initiator) {
            sendHello(ctx, ByteString.EMPTY);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
        // Frames read in the same batch as the one that closed the connection must have no effect.
        if (closing) {
            return;
        }
        if (peer != null && network.isPartitioned(peer.router())) {
            frameDropped = true;
            return;
        }
        if (frameDropped) {
            close(ctx, FRAMES_DROPPED);
            return;
        }
        int size = bytes.readableBytes();
        Frame frame;
        try {
            frame = Frame.parseFrom(bytes.nioBuffer());
        } catch (InvalidProtocolBufferException e) {
            reject(ctx, "malformed frame");
            return;
        }
        network.counters().recordReceived(frame, size);
        lastReadNanos = System.nanoTime();
        if (peer == null) {
            if (frame.getBodyCase() != Frame.BodyCase.HELLO) {
                reject(ctx, "frame received before a valid hello");
            } else {
                handleHello(ctx, frame.getHello());
            }
            return;
        }
        handleFrame(ctx, frame);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancelTimers();
        network.channelClosed(ctx.channel(), link, peer, closeReason, goodbyeSent);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            reject(ctx, "frame larger than " + PeerLimits.MAX_FRAME_BYTES + " bytes");
            return;
        }
        close(ctx, "connection failed: " + cause.getMessage());
    }

    private void handleHello(ChannelHandlerContext ctx, Hello hello) {
        if (hello.getProtocolVersion() != PeerLimits.PROTOCOL_VERSION) {
            reject(ctx, "protocol version " + hello.getProtocolVersion() + " is not supported");
            return;
        }
        if (hello.getNonce().size() != HelloAuthenticator.NONCE_BYTES
                || hello.getRouter().isBlank()
                || hello.getZone().isBlank()) {
            reject(ctx, "hello lacks a router, a zone or a valid nonce");
            return;
        }
        if (initiator) {
            peerNonce = hello.getNonce();
            if (!network.authenticator().verify(hello, false, ownNonce, peerNonce)) {
                reject(ctx, "hello with an invalid proof; check that both routers have the same fleet key");
            } else if (!hello.getRouter().equals(link.peer().value())) {
                reject(ctx, "the address belongs to another router");
            } else {
                sendHello(ctx, network.authenticator().computeProof(network.ownHello(), true, ownNonce, peerNonce));
                completeHandshake(ctx, hello);
            }
        } else if (peerNonce == null) {
            peerNonce = hello.getNonce();
            sendHello(ctx, network.authenticator().computeProof(network.ownHello(), false, peerNonce, ownNonce));
        } else if (!network.authenticator().verify(hello, true, peerNonce, ownNonce)) {
            reject(ctx, "hello with an invalid proof; check that both routers have the same fleet key");
        } else {
            completeHandshake(ctx, hello);
        }
    }

    private void completeHandshake(ChannelHandlerContext ctx, Hello hello) {
        PeerIdentity identity = new PeerIdentity(
                new RouterId(hello.getRouter()), hello.getIncarnation(), new ZoneName(hello.getZone()));
        handshakeTimer.cancel(false);
        if (network.isPartitioned(identity.router())) {
            close(ctx, "blocked by an injected partition");
            return;
        }
        peer = identity;
        long period = network.limits().probeAfter().toNanos() / 2;
        livenessTimer =
                ctx.executor().scheduleAtFixedRate(() -> checkLiveness(ctx), period, period, TimeUnit.NANOSECONDS);
        if (!network.registerChannel(ctx.channel(), link, peer)) {
            close(ctx, "a newer incarnation of the router has connected");
        }
    }

    private void handleFrame(ChannelHandlerContext ctx, Frame frame) {
        switch (frame.getBodyCase()) {
            case HELLO -> reject(ctx, "hello received after the handshake");
            case GOODBYE -> handleGoodbye(ctx);
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

    private void checkLiveness(ChannelHandlerContext ctx) {
        long idleNanos = System.nanoTime() - lastReadNanos;
        PeerLimits limits = network.limits();
        boolean anyFrameDropped = frameDropped || network.hasDroppedFrames(ctx.channel(), peer.router());
        if (anyFrameDropped && !network.isPartitioned(peer.router())) {
            close(ctx, FRAMES_DROPPED);
        } else if (network.inUse(peer.router())) {
            if (idleNanos > limits.receiveTimeout().toNanos()) {
                close(ctx, "no message received for " + limits.receiveTimeout().toMillis() + " ms");
            } else if (idleNanos > limits.probeAfter().toNanos()) {
                sendDirectly(
                        ctx,
                        Frame.newBuilder().setProbe(Probe.getDefaultInstance()).build());
            }
        } else if (!goodbyeSent && idleNanos > limits.idleTimeout().toNanos()) {
            sendGoodbye(ctx);
            closeTimer = ctx.executor()
                    .schedule(
                            () -> close(ctx, "no goodbye before the handshake timeout"),
                            limits.handshakeTimeout().toNanos(),
                            TimeUnit.NANOSECONDS);
        }
    }

    private void handleGoodbye(ChannelHandlerContext ctx) {
        if (!goodbyeSent) {
            sendGoodbye(ctx);
        }
        // An empty write completes after all earlier writes, so that the close truncates none of them.
        ctx.executor()
                .execute(() ->
                        ctx.channel().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> close(ctx, "idle")));
    }

    /** Sends the last frame of this side, after any frames that other threads queued before. */
    private void sendGoodbye(ChannelHandlerContext ctx) {
        goodbyeSent = true;
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
            frameDropped = true;
            return;
        }
        byte[] bytes = PeerLink.encode(frame);
        network.counters().recordSent(frame, bytes.length - PeerCounters.LENGTH_FIELD_BYTES);
        ChannelUtils.send(ctx.channel(), Unpooled.wrappedBuffer(bytes));
    }

    private void reject(ChannelHandlerContext ctx, String reason) {
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
        if (handshakeTimer != null) {
            handshakeTimer.cancel(false);
        }
        if (livenessTimer != null) {
            livenessTimer.cancel(false);
        }
        if (closeTimer != null) {
            closeTimer.cancel(false);
        }
    }
}
