package org.coltsfootquay.router.neighbor;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.protocol.generated.peer.CachedParts;
import org.coltsfootquay.protocol.generated.peer.TableCopy;
import org.coltsfootquay.protocol.generated.peer.TableCopyRequest;
import org.coltsfootquay.protocol.generated.peer.TableCopyRow;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.state.TableRow;
import org.coltsfootquay.router.state.TableSnapshot;
import org.coltsfootquay.router.state.TableWatcher;
import org.coltsfootquay.router.state.WatchedTable;

/**
 * Transfers copies of tables, and of the shared prompt parts that servers have cached, between routers.
 *
 * <p>Each copy uses a connection of its own. All work runs on one event loop.
 */
public final class TableCopyExchange implements CopyTransport {

    private static final EventLog LOG = EventLog.of(TableCopyExchange.class);

    /** Maximum size of a copy in bytes, far above the largest configuration that the platform accepts. */
    private static final int MAX_BYTES = 16 << 20;

    private static final int LENGTH_BYTES = 4;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /** A copy arrives within milliseconds; a silent peer times out early enough to try another. */
    private static final Duration READ_TIMEOUT = Duration.ofMillis(800);

    private final EventLoop eventLoop;
    private final TableWatcher watcher;
    private final Supplier<CachedParts> cachedParts;
    private final Map<WatchedTable, RowEncoder> rowEncoders = new EnumMap<>(WatchedTable.class);

    /**
     * Creates the exchange.
     *
     * @param eventLoop event loop
     * @param watcher holds the table copies of this router
     * @param cachedParts supplies the shared prompt parts that servers have cached
     */
    public TableCopyExchange(EventLoop eventLoop, TableWatcher watcher, Supplier<CachedParts> cachedParts) {
        this.cachedParts = cachedParts;
        this.eventLoop = eventLoop;
        this.watcher = watcher;
        for (WatchedTable table : WatchedTable.values()) {
            rowEncoders.put(table, new RowEncoder());
        }
    }

    /**
     * Starts to serve copies to other routers.
     *
     * @param host IP address
     * @param port TCP port
     * @return completes when the socket listens
     */
    public ChannelFuture listen(String host, int port) {
        return new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(initializer(this::sendCopy, () -> {}))
                .bind(host, port);
    }

    @Override
    public void fetch(PeerRouter peer, WatchedTable table, Consumer<TableSnapshot> consumer, Runnable onDone) {
        sendRequest(
                peer,
                TableCopyRequest.newBuilder().setTable(table.number()).build(),
                (context, message) -> {
                    ChannelUtils.close(context.channel());
                    TableCopy copy = TableCopy.parseFrom(message);
                    if (copy.getTable() == table.number()) {
                        consumer.accept(convert(copy));
                    }
                },
                onDone);
    }

    /**
     * Requests the shared prompt parts that servers have cached, as known to a peer.
     *
     * @param peer peer
     * @param consumer receives the copy
     * @param onDone runs when the copy was processed or the attempt has failed
     */
    public void fetchCachedParts(PeerRouter peer, Consumer<CachedParts> consumer, Runnable onDone) {
        TableCopyRequest request =
                TableCopyRequest.newBuilder().setCachedParts(true).build();
        sendRequest(
                peer,
                request,
                (context, message) -> {
                    ChannelUtils.close(context.channel());
                    consumer.accept(CachedParts.parseFrom(message));
                },
                onDone);
    }

    private void sendRequest(
            PeerRouter peer, TableCopyRequest request, MessageHandler messageHandler, Runnable onDone) {
        new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .handler(initializer(messageHandler, onDone))
                .connect(peer.host(), peer.peerPort())
                .addListener((ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        ChannelUtils.send(connected.channel(), Unpooled.wrappedBuffer(request.toByteArray()));
                    } else {
                        LOG.info("table_copy_failed", "peer", peer.id(), "reason", connected.cause());
                        onDone.run();
                    }
                });
    }

    private void sendCopy(ChannelHandlerContext context, byte[] message) throws InvalidProtocolBufferException {
        TableCopyRequest request = TableCopyRequest.parseFrom(message);
        if (request.getCachedParts()) {
            context.writeAndFlush(Unpooled.wrappedBuffer(cachedParts.get().toByteArray()))
                    .addListener(ChannelFutureListener.CLOSE);
            return;
        }
        Optional<WatchedTable> table = WatchedTable.of(request.getTable());
        if (table.isEmpty()) {
            ChannelUtils.close(context.channel());
            return;
        }
        TableSnapshot snapshot = watcher.mirror(table.get()).snapshot();
        TableCopy head = TableCopy.newBuilder()
                .setTable(table.get().number())
                .setRevision(snapshot.revision())
                .setReadRevision(snapshot.readRevision())
                .setConfirmedMillis(snapshot.confirmedMillis().orElse(0))
                .setEra(snapshot.era())
                .build();
        byte[] rows = rowEncoders.get(table.get()).encode(snapshot.rows());
        // The concatenation of two encoded messages is the encoding of a message with the fields of both.
        context.writeAndFlush(Unpooled.wrappedBuffer(head.toByteArray(), rows))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private static TableSnapshot convert(TableCopy copy) {
        List<TableRow> rows = new ArrayList<>();
        for (TableCopyRow row : copy.getRowsList()) {
            rows.add(new TableRow(row.getKey(), row.getValue().toByteArray(), row.getRevision(), row.getDeleted()));
        }
        long confirmed = copy.getConfirmedMillis();
        return new TableSnapshot(
                rows,
                copy.getReadRevision(),
                copy.getRevision(),
                confirmed > 0 ? OptionalLong.of(confirmed) : OptionalLong.empty(),
                copy.getEra());
    }

    private ChannelInitializer<SocketChannel> initializer(MessageHandler messageHandler, Runnable onClose) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(new ReadTimeoutHandler(READ_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
                        .addLast(new LengthFieldBasedFrameDecoder(MAX_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new Handler(messageHandler, onClose));
            }
        };
    }

    private interface MessageHandler {

        void handle(ChannelHandlerContext context, byte[] message) throws InvalidProtocolBufferException;
    }

    private static final class Handler extends SimpleChannelInboundHandler<ByteBuf> {

        private final MessageHandler messageHandler;
        private final Runnable onClose;

        private Handler(MessageHandler messageHandler, Runnable onClose) {
            this.messageHandler = messageHandler;
            this.onClose = onClose;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf message)
                throws InvalidProtocolBufferException {
            messageHandler.handle(context, ByteBufUtil.getBytes(message));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            onClose.run();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.info("table_copy_failed", "reason", cause);
            ChannelUtils.close(context.channel());
        }
    }
}
