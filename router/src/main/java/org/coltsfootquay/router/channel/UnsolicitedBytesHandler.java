package org.coltsfootquay.router.channel;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.router.log.EventLog;

/**
 * Closes the connection of a client when bytes arrive while no response is awaited.
 *
 * <p>It precedes the decoder, which would keep an incomplete message and join the next response to it.
 */
public final class UnsolicitedBytesHandler extends ChannelInboundHandlerAdapter {

    private static final EventLog LOG = EventLog.of(UnsolicitedBytesHandler.class);

    private final BooleanSupplier responseAwaited;

    /**
     * Creates a handler.
     *
     * @param responseAwaited returns whether a request is in progress; called on the event loop of the channel
     */
    public UnsolicitedBytesHandler(BooleanSupplier responseAwaited) {
        this.responseAwaited = ArgumentUtils.requireValue(responseAwaited, "responseAwaited");
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (responseAwaited.getAsBoolean()) {
            context.fireChannelRead(message);
        } else {
            LOG.warn(
                    "unexpected_bytes",
                    "address",
                    context.channel().remoteAddress(),
                    "bytes",
                    message instanceof ByteBuf bytes ? bytes.readableBytes() : 0);
            ReferenceCountUtil.release(message);
            ChannelUtils.close(context.channel());
        }
    }
}
