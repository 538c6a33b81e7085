package org.coltsfootquay.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
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
import org.coltsfootquay.router.channel.StatusLineScanner;
import org.coltsfootquay.router.channel.StrictResponseDecoder;
import org.coltsfootquay.router.log.EventLog;

/**
 * Connection to a backend server that carries one request at a time.
 *
 * <p>Runs on the event loop of its channel. A whole response with the id of another request is discarded and the
 * connection keeps waiting, since servers may send an extra response before the expected one. Whatever shows that the
 * bounds of a response are not where they seem to be breaks the connection: a response without an id, bytes without a
 * request in progress, and the beginning of a response within another one.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

    private static final EventLog LOG = EventLog.of(ServerConnection.class);

    /** Idle time for a server that sends no keep-alive timeout; short, since the server's own timeout is unknown. */
    private static final long DEFAULT_MAX_IDLE_NANOS = 4_000_000_000L;

    /** Time before the server's idle timeout from which the connection is not used: network and server delay. */
    private static final long IDLE_TIMEOUT_MARGIN_NANOS = 700_000_000L;

    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long MILLI_NANOS = 1_000_000L;

    private final BackendEntry server;
    private final ServerConnectionPool pool;
    private final RequestDialect dialect;
    private final long number;
    private final StrictResponseDecoder decoder;
    private ChannelHandlerContext channelContext;
    private ServerResponseListener listener;
    private String requestId = "";
    private ChannelFuture writeFuture;
    private boolean discarding;
    private StatusLineScanner discardedBody = new StatusLineScanner();
    private RepeatedHeadDetector repeatedHead = new RepeatedHeadDetector("");
    private boolean responseStarted;
    private int headBytes;
    private boolean reusable;
    private boolean headRequest;
    private boolean endsWithConnection;
    private boolean inputEnded;
    private String failureCause;
    private long maxIdleNanos = DEFAULT_MAX_IDLE_NANOS;
    private long idleSinceNanos;
    private int requests;
    private long receivedBytes;
    private int otherResponses;
    private String otherRequest = "";
    private String defect = "";

    /**
     * Creates a connection that is not yet open.
     *
     * @param server server
     * @param pool pool of the connection
     * @param dialect header mapping of the platform
     * @param number number of the connection, for the log
     * @param decoder decoder of the responses
     */
    ServerConnection(
            BackendEntry server,
            ServerConnectionPool pool,
            RequestDialect dialect,
            long number,
            StrictResponseDecoder decoder) {
        this.server = server;
        this.pool = pool;
        this.dialect = dialect;
        this.number = number;
        this.decoder = decoder;
    }

    /** Returns the number of the connection, unique in this process. */
    long number() {
        return number;
    }

    /** Returns what the connection has carried. */
    ConnectionTrace trace() {
        return new ConnectionTrace(number, requests, receivedBytes, otherResponses, otherRequest, defect);
    }

    BackendEntry server() {
        return server;
    }

    /** Returns whether an idle connection may be used for a request. */
    boolean usable(long nowNanos) {
        return channelContext.channel().isActive() && nowNanos - idleSinceNanos < maxIdleNanos;
    }

    /** Returns whether the server has not closed the connection. */
    boolean isOpen() {
        return channelContext.channel().isActive();
    }

    /** Sends a request; the listener is notified of its response. */
    void send(
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            String id,
            ServerResponseListener responseListener) {
        listener = responseListener;
        repeatedHead = new RepeatedHeadDetector(id, requestId);
        requestId = id;
        headRequest = method.equals(HttpMethod.HEAD);
        decoder.setHeadRequest(headRequest);
        discarding = false;
        responseStarted = false;
        headBytes = 0;
        requests++;
        receivedBytes = 0;
        otherResponses = 0;
        otherRequest = "";
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(body), headers, new DefaultHttpHeaders());
        if (body.length > 0 || !method.equals(HttpMethod.GET)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        writeFuture = channelContext.writeAndFlush(request);
    }

    /**
     * Counts received bytes; closes the connection if there is no request in progress or if no response has begun
     * within the limit.
     */
    void bytesReceived(int bytes) {
        receivedBytes += bytes;
        if (listener == null) {
            unexpectedBytesReceived(bytes);
            return;
        }
        if (responseStarted) {
            return;
        }
        if (headBytes > pool.responseLimits().headBytes()) {
            fail("endless_head");
            ChannelUtils.close(channelContext.channel());
            return;
        }
        headBytes += bytes;
        listener.headBytesReceived(headBytes);
    }

    /** Records that the server has closed its side of the connection in order. */
    void inputEnded() {
        inputEnded = true;
    }

    /** Closes the connection without notifying the listener. */
    void discard() {
        listener = null;
        ChannelUtils.close(channelContext.channel());
    }

    /** Pauses or resumes reading to apply backpressure from a slow caller. */
    void setReadingPaused(boolean pause) {
        channelContext.channel().config().setAutoRead(!pause);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channelContext = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (listener != null && message instanceof HttpResponse response) {
                readResponseHead(response);
            }
            if (listener != null && message instanceof HttpContent content) {
                readBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail(failureCause == null ? "closed" : failureCause);
        pool.connectionClosed(this);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            ChannelUtils.close(ctx.channel());
        }
        ctx.fireUserEventTriggered(event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail("reset");
        ChannelUtils.close(ctx.channel());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        ctx.fireChannelWritabilityChanged();
    }

    /** Gives up a connection on which bytes have arrived that belong to no response. */
    private void unexpectedBytesReceived(int bytes) {
        if (!channelContext.channel().isActive()) {
            return;
        }
        pool.unsolicitedBytesReceived(server);
        ChannelUtils.close(channelContext.channel());
        LOG.warn(
                "unexpected_bytes",
                "server",
                server.server(),
                "connection",
                number,
                "requests",
                requests,
                "lastRequest",
                requestId,
                "idleMs",
                (System.nanoTime() - idleSinceNanos) / MILLI_NANOS,
                "bytes",
                bytes);
    }

    private void readResponseHead(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            if (inputEnded) {
                fail("closed");
                ChannelUtils.close(channelContext.channel());
                return;
            }
            desynchronized("unreadable_answer", response.decoderResult().cause().getMessage());
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            discarding = true;
            return;
        }
        ResponseMetadata metadata = dialect.readResponse(response);
        if (metadata.requestId().isEmpty() && !requestId.isEmpty()) {
            // It may answer an earlier request; as a refusal, it would be no promise for this one.
            desynchronized("unidentified_answer", "no request id");
            return;
        }
        discarding = !metadata.requestId().equals(requestId);
        if (discarding) {
            otherResponses++;
            otherRequest = metadata.requestId();
            discardedBody = new StatusLineScanner();
            LOG.info(
                    "other_response_discarded",
                    "request",
                    requestId,
                    "server",
                    server.server(),
                    "connection",
                    number,
                    "otherRequest",
                    trace().otherRequest(),
                    "status",
                    response.status().code());
            pool.unsolicitedBytesReceived(server);
            return;
        }
        responseStarted = true;
        endsWithConnection = !headRequest && HeaderUtils.endsWithConnection(response);
        reusable = HttpUtil.isKeepAlive(response);
        String keepAlive = response.headers().get("Keep-Alive");
        if (keepAlive != null) {
            readKeepAlive(keepAlive);
        }
        listener.responseStarted(response, metadata);
    }

    private void readKeepAlive(String value) {
        for (String part : value.split(",", -1)) {
            String[] pair = part.strip().split("=", 2);
            if (pair.length == 2 && pair[0].equalsIgnoreCase("timeout") && pair[1].matches("\\d{1,6}")) {
                maxIdleNanos = Math.max(0, Long.parseLong(pair[1]) * SECOND_NANOS - IDLE_TIMEOUT_MARGIN_NANOS);
            }
        }
    }

    private void readBody(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            desynchronized("unreadable_body", content.decoderResult().cause().getMessage());
            return;
        }
        ByteBuf bytes = content.content();
        if (discarding) {
            if (discardedBody.scan(bytes)) {
                desynchronized("swallowed_answer", "status line within a response to another request");
            }
            return;
        }
        if (!responseStarted) {
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (repeatedHead.scan(bytes) || (last && endsWithinAnotherResponse())) {
            desynchronized("joined_answer", "head of a second response within the body");
            return;
        }
        if (bytes.isReadable()) {
            listener.bodyReceived(bytes);
        }
        if (last && listener != null && failureCause == null) {
            if (endsWithConnection && !inputEnded) {
                // The decoder ends such a body with the connection, also if it ended by an error.
                fail("reset");
            } else {
                finish();
            }
        }
    }

    /** Returns whether the length of a body that contains the beginning of a response ends before that response. */
    private boolean endsWithinAnotherResponse() {
        return (repeatedHead.withinHead() || repeatedHead.containsStatusLine()) && decoder.undecodedIsNoResponse();
    }

    private void finish() {
        ServerResponseListener finished = listener;
        listener = null;
        channelContext.channel().config().setAutoRead(true);
        idleSinceNanos = System.nanoTime();
        if (decoder.withinMessage()) {
            unexpectedBytesReceived(decoder.undecodedBytes());
        }
        // A server may respond before it has read the complete request; such a connection is not reused.
        if (reusable && writeFuture.isSuccess() && channelContext.channel().isActive()) {
            pool.release(this);
        } else {
            ChannelUtils.close(channelContext.channel());
        }
        finished.responseCompleted();
    }

    /** Gives up a connection on which the bounds of the responses are not known. */
    private void desynchronized(String cause, String foundDefect) {
        defect = String.valueOf(foundDefect);
        pool.unsolicitedBytesReceived(server);
        fail(cause);
        ChannelUtils.close(channelContext.channel());
    }

    private void fail(String cause) {
        failureCause = cause;
        if (listener != null) {
            ServerResponseListener broken = listener;
            listener = null;
            broken.responseFailed(cause);
        }
    }
}
