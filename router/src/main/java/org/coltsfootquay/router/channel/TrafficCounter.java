package org.coltsfootquay.router.channel;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the bytes sent and received by channels, excluding TCP and IP headers; thread-safe.
 *
 * <p>It must be the first handler in the pipeline of each counted channel.
 */
@Sharable
public final class TrafficCounter extends ChannelDuplexHandler {

    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();

    /**
     * Returns the number of bytes sent.
     *
     * @return bytes since the start
     */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /**
     * Returns the number of bytes received.
     *
     * @return bytes since the start
     */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            receivedBytes.add(bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            sentBytes.add(bytes.readableBytes());
        }
        var unused = context.write(message, promise);
    }
}
