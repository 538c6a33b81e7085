package org.coltsfootquay.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Observes the input of a server connection before it is decoded: counts its bytes, since a decoder may skip bytes
 * without end, and notices its end, which a decoder reports like the end of a body.
 */
final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {

    private final ServerConnection connection;

    ReceivedBytesHandler(ServerConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            connection.bytesReceived(bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            connection.inputEnded();
        }
        context.fireUserEventTriggered(event);
    }
}
