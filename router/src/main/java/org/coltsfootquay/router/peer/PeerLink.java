package org.coltsfootquay.router.peer;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.protocol.generated.Frame;

/** Outgoing side of the connection to one peer: frames wait here while the connection is being made. */
final class PeerLink {

    /** Memory that a waiting frame takes besides its bytes; bounds the number of small frames. */
    private static final int OVERHEAD_BYTES = 64;

    private enum State {
        CONNECTING,
        OPEN,
        CLOSED
    }

    private final RouterId peer;
    private final int maxQueuedBytes;
    private final PeerCounters counters;
    private final AtomicLong queuedBytes = new AtomicLong();
    private final ArrayDeque<Frame> waiting = new ArrayDeque<>();
    private State state = State.CONNECTING;
    private Channel channel;
    private boolean gap;

    PeerLink(RouterId peer, int maxQueuedBytes, PeerCounters counters) {
        this.peer = peer;
        this.maxQueuedBytes = maxQueuedBytes;
        this.counters = counters;
    }

    RouterId peer() {
        return peer;
    }

    synchronized Channel channel() {
        return channel;
    }

    /** Notes that a frame was dropped, so that no later frame may follow on the same connection. */
    synchronized void markFrameDropped() {
        gap = true;
    }

    synchronized boolean hasDroppedFrames() {
        return gap;
    }

    /** Takes a frame in order, or states why not; {@link SendResult#CLOSED} means that a new link is needed. */
    synchronized SendResult offer(Frame frame) {
        if (state == State.CLOSED) {
            return SendResult.CLOSED;
        }
        long cost = (long) frame.getSerializedSize() + OVERHEAD_BYTES;
        if (queuedBytes.get() + cost > maxQueuedBytes) {
            return SendResult.QUEUE_FULL;
        }
        queuedBytes.addAndGet(cost);
        if (state == State.CONNECTING) {
            waiting.add(frame);
        } else {
            write(frame, cost);
        }
        return SendResult.ACCEPTED;
    }

    /** Writes the frames that waited and lets later ones pass directly; false when the link was closed meanwhile. */
    synchronized boolean open(Channel newChannel) {
        if (state != State.CONNECTING) {
            return false;
        }
        state = State.OPEN;
        channel = newChannel;
        for (Frame frame = waiting.poll(); frame != null; frame = waiting.poll()) {
            write(frame, (long) frame.getSerializedSize() + OVERHEAD_BYTES);
        }
        return true;
    }

    /** Refuses later frames; false when the link was closed before. The connection stays open. */
    synchronized boolean close() {
        if (state == State.CLOSED) {
            return false;
        }
        state = State.CLOSED;
        waiting.clear();
        return true;
    }

    private void write(Frame frame, long cost) {
        byte[] bytes = encode(frame);
        counters.recordSent(frame, bytes.length - PeerCounters.LENGTH_FIELD_BYTES);
        Channel target = channel;
        ChannelFuture written = target.writeAndFlush(Unpooled.wrappedBuffer(bytes));
        written.addListener(future -> {
            queuedBytes.addAndGet(-cost);
            if (!future.isSuccess()) {
                target.close().addListener(closed -> {});
            }
        });
    }

    static byte[] encode(Frame frame) {
        int size = frame.getSerializedSize();
        byte[] bytes = new byte[PeerCounters.LENGTH_FIELD_BYTES + size];
        bytes[0] = (byte) (size >>> 24);
        bytes[1] = (byte) (size >>> 16);
        bytes[2] = (byte) (size >>> 8);
        bytes[3] = (byte) size;
        try {
            CodedOutputStream output = CodedOutputStream.newInstance(bytes, PeerCounters.LENGTH_FIELD_BYTES, size);
            frame.writeTo(output);
            output.checkNoSpaceLeft();
        } catch (IOException e) {
            throw new UncheckedIOException("frame does not fit its computed size", e);
        }
        return bytes;
    }
}
