package org.coltsfootquay.router.forward;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.coltsfootquay.decision.route.Access;
import org.coltsfootquay.decision.route.RoutingConfiguration;
import org.coltsfootquay.decision.route.ServicePolicy;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.log.EventLog;

/**
 * One connection of a caller: reads requests whole, checks them and writes their answers in order.
 *
 * <p>Runs on the event loop of its channel.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerResponseWriter {

    private static final EventLog LOG = EventLog.of(CallerConnection.class);

    /** Requests that a caller may send ahead of its answers. */
    private static final int MAX_PIPELINED = 8;

    /** Time that a request waits for the first configuration of a router that has just started. */
    private static final Duration STATE_WAIT = Duration.ofMillis(250);

    private final ForwardingContext forwarding;
    private final CallerConnections connections;
    private final Deque<BufferedRequest> waiting = new ArrayDeque<>();
    private ChannelHandlerContext channel;
    private HttpRequest head;
    private ByteArrayOutputStream body;
    private RequestRelay current;
    private boolean busy;
    private boolean keepAlive;
    private boolean refused;
    private long idleSinceNanos;

    CallerConnection(ForwardingContext forwarding, CallerConnections connections) {
        this.forwarding = forwarding;
        this.connections = connections;
        this.idleSinceNanos = forwarding.timers().nowNanos();
    }

    /** Closes the connection if it has been without a request or in the middle of one for too long. */
    void closeIfIdle(Duration idleTimeout, Duration headerTimeout, long nowNanos) {
        Duration limit = head == null ? idleTimeout : idleTimeout.plus(headerTimeout);
        if (!busy && nowNanos - idleSinceNanos > limit.toNanos()) {
            ChannelUtils.close(channel.channel());
        }
    }

    /** Tells whether a request is in progress. */
    boolean busy() {
        return busy || head != null;
    }

    /** Closes the connection if no request is in progress. */
    void closeUnlessBusy() {
        if (!busy()) {
            ChannelUtils.close(channel.channel());
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        channel = added;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        connections.add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        connections.remove(this);
        waiting.clear();
        if (current != null) {
            current.callerDisconnected();
            current = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        ChannelUtils.close(failed.channel());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        if (changed.channel().isWritable() && current != null) {
            current.callerWritable();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object message) {
        try {
            if (refused) {
                return;
            }
            if (message instanceof HttpRequest request) {
                readHead(request);
            }
            if (message instanceof HttpContent content && !refused) {
                readBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void readHead(HttpRequest request) {
        idleSinceNanos = forwarding.timers().nowNanos();
        if (request.decoderResult().isFailure()) {
            boolean tooLong = request.decoderResult().cause() instanceof TooLongHttpHeaderException;
            refuseAndClose(
                    tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST,
                    tooLong ? "headers_too_large" : "malformed_request");
            return;
        }
        head = request;
        body = new ByteArrayOutputStream();
        if (HttpUtil.is100ContinueExpected(request)) {
            ChannelUtils.send(
                    channel.channel(),
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void readBody(HttpContent content) {
        if (head == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            refuseAndClose(HttpResponseStatus.BAD_REQUEST, "malformed_body");
            return;
        }
        int size = content.content().readableBytes();
        if (body.size() + size > connections.maxBodyBytes()) {
            refuseAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large");
            return;
        }
        byte[] bytes = new byte[size];
        content.content().readBytes(bytes);
        body.writeBytes(bytes);
        if (content instanceof LastHttpContent) {
            BufferedRequest request =
                    new BufferedRequest(head.method(), head.uri(), head.headers(), body.toByteArray());
            boolean keep = HttpUtil.isKeepAlive(head);
            HttpRequest requestHead = head;
            head = null;
            if (!busy) {
                begin(request, requestHead, keep);
            } else if (waiting.size() < MAX_PIPELINED) {
                waiting.add(request);
            } else {
                ChannelUtils.close(channel.channel());
            }
        }
    }

    private void begin(BufferedRequest request, HttpRequest requestHead, boolean keep) {
        busy = true;
        keepAlive = keep;
        long arrivedNanos = forwarding.timers().nowNanos();
        Runnable start = () -> {
            if (channel.channel().isActive()) {
                check(request, requestHead, arrivedNanos);
            }
        };
        if (forwarding.isReady()) {
            forwarding.eventLoopLag().runAfterPendingReads(start);
        } else {
            forwarding.runWhenReady(STATE_WAIT, start);
        }
    }

    private void check(BufferedRequest request, HttpRequest requestHead, long arrivedNanos) {
        Optional<RoutingConfiguration> configuration = forwarding.configuration();
        RequestMetadata facts;
        try {
            facts = forwarding.dialect().readRequest(requestHead);
        } catch (MalformedRequestException e) {
            LOG.info("request_malformed", "reason", e.getMessage());
            refuse(HttpResponseStatus.BAD_REQUEST, "malformed_header", "", Optional.empty());
            return;
        }
        if (configuration.isEmpty()) {
            refuse(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "no_configuration",
                    facts.requestId(),
                    Optional.of(RetryAfter.NO_CONFIGURATION));
            return;
        }
        if (!connections.acceptingRequests()) {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping", facts.requestId(), Optional.of(Duration.ZERO));
            return;
        }
        String path = request.uri();
        int query = path.indexOf('?');
        Access access = configuration
                .get()
                .authorize(
                        facts.host(),
                        query < 0 ? path : path.substring(0, query),
                        facts.key().orElse(null));
        if (access instanceof Access.Denied denied) {
            boolean route = denied.reason() == Access.Reason.UNKNOWN_ROUTE;
            refuse(
                    route ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.UNAUTHORIZED,
                    route ? "unknown_route" : "unknown_key",
                    facts.requestId(),
                    Optional.empty());
            return;
        }
        Access.Allowed allowed = (Access.Allowed) access;
        Optional<ServicePolicy> service =
                configuration.get().service(allowed.route().serviceFor(RequestRelay.hashOf(facts)));
        if (service.isEmpty()) {
            refuse(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "unknown_service",
                    facts.requestId(),
                    Optional.of(RetryAfter.NO_SERVER));
            return;
        }
        current = new RequestRelay(
                forwarding, this, request, facts, allowed.route(), allowed.workspace(), service.get(), arrivedNanos);
        current.start();
    }

    private void refuse(HttpResponseStatus status, String reason, String requestId, Optional<Duration> retryAfter) {
        LOG.info(
                "request_refused",
                "request",
                requestId,
                "reason",
                reason,
                "status",
                status.code(),
                "configuration",
                forwarding.configuration().map(RoutingConfiguration::version).orElse(0L));
        forwarding.metrics().count("coltsfootquay_requests_total{outcome=\"" + reason + "\"}");
        HttpHeaders headers = new DefaultHttpHeaders();
        retryAfter.ifPresent(after -> RetryAfter.setHeader(headers, after));
        sendResponse(status, headers, ErrorBody.of(reason, true));
    }

    private void refuseAndClose(HttpResponseStatus status, String reason) {
        refused = true;
        keepAlive = false;
        if (busy) {
            // Answers come in the order of requests; the earlier one has to end first.
            ChannelUtils.close(channel.channel());
            return;
        }
        busy = true;
        refuse(status, reason, "", Optional.empty());
    }

    @Override
    public void sendResponse(HttpResponseStatus status, HttpHeaders headers, byte[] bytes) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes), headers, new DefaultHttpHeaders());
        headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        setConnectionHeader(headers);
        ChannelUtils.send(channel.channel(), response);
        answered();
    }

    @Override
    public void startResponse(HttpResponseStatus status, HttpHeaders headers) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setConnectionHeader(headers);
        ChannelUtils.send(channel.channel(), response);
    }

    @Override
    public boolean writeBody(byte[] bytes) {
        ChannelUtils.send(channel.channel(), new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        return channel.channel().isWritable();
    }

    @Override
    public void endResponse() {
        ChannelUtils.send(channel.channel(), LastHttpContent.EMPTY_LAST_CONTENT);
        answered();
    }

    @Override
    public void abort() {
        current = null;
        ChannelUtils.close(channel.channel());
    }

    private void setConnectionHeader(HttpHeaders headers) {
        if (connections.draining()) {
            keepAlive = false;
        }
        if (!keepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void answered() {
        busy = false;
        current = null;
        idleSinceNanos = forwarding.timers().nowNanos();
        if (!keepAlive) {
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        BufferedRequest next = waiting.poll();
        if (next != null) {
            HttpRequest nextHead =
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, next.method(), next.uri(), next.headers());
            begin(next, nextHead, HttpUtil.isKeepAlive(nextHead));
        }
    }
}
