package org.coltsfootquay.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.router.channel.ChannelUtils;

/**
 * One connection to a backend server, which carries one request at a time.
 *
 * <p>Runs on the event loop of its channel. An answer that names another request is dropped and the connection goes on
 * waiting, since servers may send an extra answer where the next one is expected.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

    /** A server that states no keep-alive time closes idle connections after an unknown time; this is kept short. */
    private static final long DEFAULT_IDLE_NANOS = 4_000_000_000L;

    /** Time before the server's idle timeout at which the connection is no longer used: transit and server delay. */
    private static final long IDLE_MARGIN_NANOS = 700_000_000L;

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final BackendEntry server;
    private final ServerConnectionPool pool;
    private final RequestDialect dialect;
    private ChannelHandlerContext context;
    private ServerResponseListener listener;
    private String requestId = "";
    private ChannelFuture requestWritten;
    private boolean skipping;
    private boolean answering;
    private boolean reusable;
    private String breakCause;
    private long idleNanos = DEFAULT_IDLE_NANOS;
    private long idleSinceNanos;

    ServerConnection(BackendEntry server, ServerConnectionPool pool, RequestDialect dialect) {
        this.server = server;
        this.pool = pool;
        this.dialect = dialect;
    }

    BackendEntry server() {
        return server;
    }

    /** Tells whether an idle connection may carry a request. */
    boolean usable(long nowNanos) {
        return context.channel().isActive() && nowNanos - idleSinceNanos < idleNanos;
    }

    /** Sends a request; the listener hears of its answer. */
    void send(HttpMethod method, String uri, HttpHeaders headers, byte[] body, String id, ServerResponseListener to) {
        listener = to;
        requestId = id;
        skipping = false;
        answering = false;
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(body), headers, new DefaultHttpHeaders());
        if (body.length > 0 || !method.equals(HttpMethod.GET)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        requestWritten = context.writeAndFlush(request);
    }

    /** Closes the connection; a listener hears nothing more. */
    void discard() {
        listener = null;
        ChannelUtils.close(context.channel());
    }

    /** Stops or resumes reading, for a caller that reads slowly. */
    void setReadingPaused(boolean pause) {
        context.channel().config().setAutoRead(!pause);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext channel, Object message) {
        try {
            if (listener == null) {
                // Bytes without a request in progress belong to nobody.
                breakCause = "unexpected_bytes";
                ChannelUtils.close(channel.channel());
            } else if (message instanceof HttpResponse response) {
                readHead(response);
            }
            if (listener != null && message instanceof HttpContent content) {
                readBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext channel) {
        breakOff(breakCause == null ? "closed" : breakCause);
        pool.connectionClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
        breakOff("reset");
        ChannelUtils.close(channel.channel());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext channel) {
        channel.fireChannelWritabilityChanged();
    }

    private void readHead(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            breakOff("unreadable_answer");
            ChannelUtils.close(context.channel());
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipping = true;
            return;
        }
        ResponseMetadata facts = dialect.readResponse(response);
        skipping = !facts.requestId().isEmpty() && !facts.requestId().equals(requestId);
        if (skipping) {
            return;
        }
        answering = true;
        reusable = HttpUtil.isKeepAlive(response);
        String keepAlive = response.headers().get("Keep-Alive");
        if (keepAlive != null) {
            readKeepAlive(keepAlive);
        }
        listener.responseStarted(response, facts);
    }

    private void readKeepAlive(String value) {
        for (String part : value.split(",", -1)) {
            String[] pair = part.strip().split("=", 2);
            if (pair.length == 2 && pair[0].equalsIgnoreCase("timeout") && pair[1].matches("\\d{1,6}")) {
                idleNanos = Math.max(0, Long.parseLong(pair[1]) * SECOND_NANOS - IDLE_MARGIN_NANOS);
            }
        }
    }

    private void readBody(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            breakOff("unreadable_body");
            ChannelUtils.close(context.channel());
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (skipping || !answering) {
            return;
        }
        ByteBuf bytes = content.content();
        if (bytes.isReadable()) {
            listener.bodyReceived(bytes);
        }
        if (last && listener != null && breakCause == null) {
            finish();
        }
    }

    private void finish() {
        ServerResponseListener finished = listener;
        listener = null;
        context.channel().config().setAutoRead(true);
        // A server may answer before it has read the whole request; the connection is then not used again.
        if (reusable && requestWritten.isSuccess() && context.channel().isActive()) {
            idleSinceNanos = System.nanoTime();
            pool.release(this);
        } else {
            ChannelUtils.close(context.channel());
        }
        finished.responseCompleted();
    }

    private void breakOff(String cause) {
        breakCause = cause;
        if (listener != null) {
            ServerResponseListener broken = listener;
            listener = null;
            broken.responseFailed(cause);
        }
    }
}
