package org.coltsfootquay.router.forward;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.memory.HeldBytes;
import org.coltsfootquay.decision.route.Access;
import org.coltsfootquay.decision.route.RoutingConfiguration;
import org.coltsfootquay.decision.route.ServicePolicy;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.log.EventLog;

/**
 * Connection of a caller: buffers complete requests, authenticates and routes them, and writes responses in order.
 *
 * <p>Runs on the event loop of its channel.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerResponseWriter {

    private static final EventLog LOG = EventLog.of(CallerConnection.class);

    private static final String STOPPING = "stopping";

    /** Account of small bodies and of requests without a service; reading their heads twice would cost more. */
    private static final ServiceName SMALL_BODIES = new ServiceName("small bodies");

    /** Size of a body above which its service is looked up before it is received. */
    private static final int MAX_SMALL_BODY_BYTES = 64 << 10;

    /** Time for which the rest of a rejected request is read and discarded. */
    private static final Duration MAX_DISCARD_TIME = Duration.ofSeconds(2);

    /** Maximum number of pipelined requests that wait for the response to an earlier request. */
    private static final int MAX_PIPELINED = 8;

    /** Maximum time for which a request waits for the first configuration of a router that has just started. */
    private static final Duration MAX_STARTUP_WAIT = Duration.ofMillis(250);

    private final ForwardingContext context;
    private final CallerConnections connections;
    private final Deque<BufferedRequest> pipelined = new ArrayDeque<>();
    private ChannelHandlerContext channelContext;
    private HttpRequest head;
    private BodyBuffer body;
    private HeldBytes heldBody;
    private BufferedRequest currentRequest;
    private RequestRelay currentRelay;
    private boolean busy;
    private boolean keepAlive;
    private boolean rejected;
    private boolean withinLimit = true;
    private long idleSinceNanos;

    CallerConnection(ForwardingContext context, CallerConnections connections) {
        this.context = context;
        this.connections = connections;
        this.idleSinceNanos = context.timers().nowNanos();
    }

    /** Closes the connection after the idle timeout, which the header timeout extends while a request is received. */
    void closeIfIdle(Duration idleTimeout, Duration headerTimeout, long nowNanos) {
        Duration limit = head == null ? idleTimeout : idleTimeout.plus(headerTimeout);
        if (!busy && nowNanos - idleSinceNanos > limit.toNanos()) {
            ChannelUtils.close(channelContext.channel());
        }
    }

    /** Returns whether a request is being received or is in progress, or its response is not yet written. */
    boolean busy() {
        return busy || head != null || flushing();
    }

    private boolean flushing() {
        ChannelOutboundBuffer output = channelContext.channel().unsafe().outboundBuffer();
        return output != null && output.totalPendingWriteBytes() > 0;
    }

    /** Returns the time since which no request is in progress; meaningful unless the connection is busy. */
    long idleSinceNanos() {
        return idleSinceNanos;
    }

    /** Closes the connection unless a request is being received or is in progress. */
    void closeUnlessBusy() {
        if (!busy()) {
            ChannelUtils.close(channelContext.channel());
        }
    }

    /** Responds to the request in progress, and closes the connection of a request that is not yet received. */
    void endRequest() {
        if (currentRelay != null) {
            currentRelay.routerStopping();
        } else if (busy) {
            keepAlive = false;
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, STOPPING, "", Optional.of(Duration.ZERO));
        } else {
            ChannelUtils.close(channelContext.channel());
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channelContext = ctx;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        withinLimit = connections.add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        connections.remove(this);
        pipelined.forEach(request -> request.held().release());
        pipelined.clear();
        releaseBody();
        releaseRequest();
        if (currentRelay != null) {
            currentRelay.callerDisconnected();
            currentRelay = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ChannelUtils.close(ctx.channel());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (ctx.channel().isWritable() && currentRelay != null) {
            currentRelay.callerWritable();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (rejected) {
                return;
            }
            if (message instanceof HttpRequest request) {
                readRequestHead(request);
            }
            if (message instanceof HttpContent content && !rejected) {
                readBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void readRequestHead(HttpRequest request) {
        idleSinceNanos = context.timers().nowNanos();
        if (request.decoderResult().isFailure()) {
            boolean tooLong = request.decoderResult().cause() instanceof TooLongHttpHeaderException;
            rejectAndClose(
                    tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST,
                    tooLong ? "headers_too_large" : "malformed_request");
            return;
        }
        long length = HttpUtil.getContentLength(request, 0L);
        if (length > connections.maxBodyBytes()) {
            rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large");
            return;
        }
        boolean small = length <= MAX_SMALL_BODY_BYTES && !HttpUtil.isTransferEncodingChunked(request);
        heldBody = context.requestBudget().open(small ? SMALL_BODIES : serviceOf(request));
        if (!holdBody(length)) {
            return;
        }
        head = request;
        body = new BodyBuffer((int) length);
        if (HttpUtil.is100ContinueExpected(request)) {
            ChannelUtils.send(
                    channelContext.channel(),
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void readBody(HttpContent content) {
        if (head == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            rejectAndClose(HttpResponseStatus.BAD_REQUEST, "malformed_body");
            return;
        }
        int size = content.content().readableBytes();
        if (body.size() + size > connections.maxBodyBytes()) {
            rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large");
            return;
        }
        if (!holdBody(body.capacityWith(size))) {
            return;
        }
        body.add(content.content());
        if (content instanceof LastHttpContent) {
            BufferedRequest request =
                    new BufferedRequest(head.method(), head.uri(), head.headers(), body.toByteArray(), heldBody);
            boolean persistent = HttpUtil.isKeepAlive(head);
            HttpRequest requestHead = head;
            head = null;
            body = null;
            heldBody = null;
            if (!busy) {
                start(request, requestHead, persistent);
            } else if (pipelined.size() < MAX_PIPELINED) {
                pipelined.add(request);
            } else {
                request.held().release();
                ChannelUtils.close(channelContext.channel());
            }
        }
    }

    /** Counts the bytes that the body occupies; rejects the request and returns false if there is no room. */
    private boolean holdBody(long bytes) {
        boolean held = heldBody.resize(bytes);
        if (!held) {
            rejectAndClose(
                    HttpResponseStatus.SERVICE_UNAVAILABLE, "memory_exhausted", Optional.of(RetryAfter.OVERLOAD));
        }
        return held;
    }

    /** Returns the service to which a request is addressed, as far as its head tells. */
    private ServiceName serviceOf(HttpRequest request) {
        try {
            RequestMetadata metadata = context.dialect().readRequest(request);
            return context.configuration()
                    .map(configuration -> authorize(configuration, request.uri(), metadata))
                    .filter(Access.Allowed.class::isInstance)
                    .map(access -> ((Access.Allowed) access).route().serviceFor(metadata.hash()))
                    .orElse(SMALL_BODIES);
        } catch (MalformedRequestException e) {
            // The complete request is rejected with the reason.
            return SMALL_BODIES;
        }
    }

    private static Access authorize(RoutingConfiguration configuration, String uri, RequestMetadata metadata) {
        int query = uri.indexOf('?');
        return configuration.authorize(
                metadata.host(),
                query < 0 ? uri : uri.substring(0, query),
                metadata.key().orElse(null));
    }

    private void releaseBody() {
        if (heldBody != null) {
            heldBody.release();
        }
    }

    private void releaseRequest() {
        if (currentRequest != null) {
            currentRequest.held().release();
            currentRequest = null;
        }
    }

    private void start(BufferedRequest request, HttpRequest requestHead, boolean persistent) {
        busy = true;
        currentRequest = request;
        encoder().setHeadRequest(request.method().equals(HttpMethod.HEAD));
        keepAlive = persistent;
        long arrivalNanos = context.timers().nowNanos();
        Runnable start = () -> {
            if (channelContext.channel().isActive() && busy) {
                route(request, requestHead, arrivalNanos);
            }
        };
        Runnable startWhenFresh = () -> context.freshness().runWhenFresh(start);
        if (context.isReady()) {
            // Runs after this read of the socket, which may also find that the caller has disconnected.
            channelContext.executor().execute(() -> context.eventLoopLag().runAfterPendingReads(startWhenFresh));
        } else {
            // A router that has just started reads slowly, so callers may have disconnected during the wait.
            context.runWhenReady(MAX_STARTUP_WAIT, () -> context.eventLoopLag().runAfterPendingReads(startWhenFresh));
        }
    }

    /** Returns whether the connection is within the limit, or came in above it and others have been closed since. */
    private boolean hasRoom() {
        withinLimit |= connections.openCount() <= connections.admission().maxConnections();
        return withinLimit;
    }

    private void route(BufferedRequest request, HttpRequest requestHead, long arrivalNanos) {
        Optional<RoutingConfiguration> configuration = context.configuration();
        RequestMetadata metadata;
        try {
            metadata = context.dialect().readRequest(requestHead);
        } catch (MalformedRequestException e) {
            LOG.info("request_malformed", "reason", e.getMessage());
            reject(HttpResponseStatus.BAD_REQUEST, "malformed_header", "", Optional.empty());
            return;
        }
        if (configuration.isEmpty()) {
            reject(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "no_configuration",
                    metadata.requestId(),
                    Optional.of(RetryAfter.NO_CONFIGURATION));
            return;
        }
        if (!connections.acceptingRequests()) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, STOPPING, metadata.requestId(), Optional.of(Duration.ZERO));
            return;
        }
        if (context.eventLoopLag().overloaded()) {
            // Closing the connection makes the caller choose another router.
            keepAlive = false;
            reject(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "router_overloaded",
                    metadata.requestId(),
                    Optional.of(RetryAfter.ROUTER_OVERLOADED));
            return;
        }
        Optional<String> full =
                hasRoom() ? connections.admission().rejectionReason() : Optional.of("too_many_connections");
        if (full.isPresent()) {
            keepAlive = false;
            reject(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    full.get(),
                    metadata.requestId(),
                    Optional.of(RetryAfter.ROUTER_OVERLOADED));
            return;
        }
        context.freshness()
                .overdueAge()
                .ifPresent(age -> LOG.info(
                        "request_routed_by_old_configuration",
                        "request",
                        metadata.requestId(),
                        "configuration",
                        configuration.get().version(),
                        "ageMs",
                        age.toMillis()));
        Access access = authorize(configuration.get(), request.uri(), metadata);
        if (access instanceof Access.Denied denied) {
            boolean unknownRoute = denied.reason() == Access.Reason.UNKNOWN_ROUTE;
            reject(
                    unknownRoute ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.UNAUTHORIZED,
                    unknownRoute ? "unknown_route" : "unknown_key",
                    metadata.requestId(),
                    Optional.empty());
            return;
        }
        Access.Allowed allowed = (Access.Allowed) access;
        Optional<ServicePolicy> service =
                configuration.get().service(allowed.route().serviceFor(metadata.hash()));
        if (service.isEmpty()) {
            reject(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "unknown_service",
                    metadata.requestId(),
                    Optional.of(RetryAfter.NO_SERVER));
            return;
        }
        currentRelay = new RequestRelay(
                context, this, request, metadata, allowed.route(), allowed.workspace(), service.get(), arrivalNanos);
        currentRelay.start();
    }

    private void reject(HttpResponseStatus status, String reason, String requestId, Optional<Duration> retryAfter) {
        LOG.info(
                "request_refused",
                "request",
                requestId,
                "reason",
                reason,
                "status",
                status.code(),
                "configuration",
                context.configuration().map(RoutingConfiguration::version).orElse(0L));
        context.metrics().count("coltsfootquay_requests_total{outcome=\"" + reason + "\"}");
        HttpHeaders headers = new DefaultHttpHeaders();
        retryAfter.ifPresent(after -> RetryAfter.setHeader(headers, after));
        sendResponse(status, headers, ErrorResponseBody.of(reason, true));
    }

    private void rejectAndClose(HttpResponseStatus status, String reason) {
        rejectAndClose(status, reason, Optional.empty());
    }

    private void rejectAndClose(HttpResponseStatus status, String reason, Optional<Duration> retryAfter) {
        rejected = true;
        keepAlive = false;
        head = null;
        body = null;
        releaseBody();
        if (busy) {
            // Responses are sent in request order; the connection is closed after the response in progress.
            return;
        }
        busy = true;
        reject(status, reason, "", retryAfter);
    }

    @Override
    public void sendResponse(HttpResponseStatus status, HttpHeaders headers, byte[] bytes, HeldBytes held) {
        sendResponse(status, headers, bytes);
        // Runs once the socket has taken the response, or the connection is closed.
        channelContext.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> held.release());
    }

    @Override
    public void sendResponse(HttpResponseStatus status, HttpHeaders headers, byte[] bytes) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes), headers, new DefaultHttpHeaders());
        headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        setConnectionHeader(headers);
        ChannelUtils.send(channelContext.channel(), response);
        responseSent();
    }

    @Override
    public void startResponse(HttpResponseStatus status, HttpHeaders headers) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setConnectionHeader(headers);
        ChannelUtils.send(channelContext.channel(), response);
    }

    @Override
    public boolean writeBody(byte[] bytes) {
        ChannelUtils.send(channelContext.channel(), new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        return channelContext.channel().isWritable();
    }

    @Override
    public void endResponse() {
        ChannelUtils.send(channelContext.channel(), LastHttpContent.EMPTY_LAST_CONTENT);
        responseSent();
    }

    @Override
    public void abort() {
        currentRelay = null;
        releaseRequest();
        ChannelUtils.close(channelContext.channel());
    }

    private void setConnectionHeader(HttpHeaders headers) {
        if (connections.draining()) {
            keepAlive = false;
        }
        if (!keepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /**
     * Ends the output and discards what the caller still sends, since closing a connection with unread bytes resets it
     * and the caller might not get its response.
     */
    private void closeAfterUnreadBody() {
        SocketChannel channel = (SocketChannel) channelContext.channel();
        channelContext.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
            var unused = channel.shutdownOutput();
        });
        var unused = context.timers().scheduleOnce("unread body", MAX_DISCARD_TIME, () -> ChannelUtils.close(channel));
    }

    private CallerResponseEncoder encoder() {
        return channelContext.pipeline().get(CallerResponseEncoder.class);
    }

    private void responseSent() {
        busy = false;
        encoder().setHeadRequest(false);
        currentRelay = null;
        releaseRequest();
        idleSinceNanos = context.timers().nowNanos();
        if (rejected) {
            closeAfterUnreadBody();
            return;
        }
        if (!keepAlive) {
            channelContext.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        BufferedRequest next = pipelined.poll();
        if (next != null) {
            HttpRequest nextHead =
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, next.method(), next.uri(), next.headers());
            start(next, nextHead, HttpUtil.isKeepAlive(nextHead));
        }
    }
}
