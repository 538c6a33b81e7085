package org.coltsfootquay.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.channel.RequestHeadUtils;

/**
 * Handler of one front-end connection: aggregates requests within the limits and handles them one at a time, in order.
 *
 * <p>The connection is also read while a request is in progress, so that a disconnect is detected. Reading stops while
 * more pipelined requests wait than the limits allow.
 */
final class FrontEndHandler extends SimpleChannelInboundHandler<HttpObject> {

    private final HttpFrontEnd frontEnd;
    private final HttpLimits limits;
    private final ArrayDeque<ServerExchange> pipelined = new ArrayDeque<>();
    private Channel channel;
    private ServerExchange current;
    private HttpRequest head;
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private boolean continuePending;
    private boolean rejected;
    private long phaseStartNanos = System.nanoTime();
    private Future<?> timeoutCheck;

    FrontEndHandler(HttpFrontEnd frontEnd, HttpLimits limits) {
        this.frontEnd = frontEnd;
        this.limits = limits;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        if (!frontEnd.register(this)) {
            ChannelUtils.close(channel);
            return;
        }
        long period =
                Math.min(limits.requestTimeout().toNanos(), limits.idleTimeout().toNanos()) / 4;
        timeoutCheck = ctx.executor().scheduleAtFixedRate(this::checkTimeouts, period, period, TimeUnit.NANOSECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (rejected) {
            return;
        }
        DecoderResult result = message.decoderResult();
        if (result.isFailure()) {
            rejectMalformed(message, result.cause());
            return;
        }
        if (message instanceof HttpRequest request) {
            String fault = RequestHeadUtils.findFault(request);
            if (!fault.isEmpty()) {
                rejectMalformed(request, new IllegalArgumentException(fault));
                return;
            }
            beginRequest(request);
        }
        if (message instanceof HttpContent content && !rejected) {
            appendBody(content.content());
            if (message instanceof LastHttpContent && !rejected) {
                completeRequest();
            }
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (current != null && ctx.channel().isWritable()) {
            current.fireWritable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        frontEnd.unregister(this);
        if (timeoutCheck != null) {
            timeoutCheck.cancel(false);
        }
        pipelined.clear();
        if (current != null) {
            current.fireDisconnect();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            frontEnd.logHandlerFailure(cause);
        }
        ChannelUtils.close(ctx.channel());
    }

    boolean keepAliveAllowed() {
        return !frontEnd.draining();
    }

    /** Closes the connection if it is idle; otherwise it closes after the request in progress. */
    void drain() {
        channel.eventLoop().execute(() -> {
            if (current == null && head == null) {
                ChannelUtils.close(channel);
            }
        });
    }

    void close() {
        ChannelUtils.close(channel);
    }

    void exchangeEnded(ServerExchange exchange, boolean keepAlive) {
        if (exchange != current) {
            return;
        }
        current = null;
        phaseStartNanos = System.nanoTime();
        if (!keepAlive) {
            rejected = true;
            pipelined.clear();
            return;
        }
        // Avoids recursion for each pipelined request when the handler responds synchronously.
        channel.eventLoop().execute(this::handleNext);
    }

    private void beginRequest(HttpRequest request) {
        head = request;
        body = new ByteArrayOutputStream(0);
        phaseStartNanos = System.nanoTime();
        long length = HttpUtil.getContentLength(request, 0L);
        if (length > limits.maxBodyBytes()) {
            rejectTooLarge();
        } else if (HttpUtil.is100ContinueExpected(request)) {
            continuePending = true;
            sendContinue();
        } else if (request.headers().contains(HttpHeaderNames.EXPECT)) {
            reject(ErrorBody.of(
                    417,
                    "bad_request",
                    "the expectation is not supported",
                    "send Expect: 100-continue or omit the header"));
        }
    }

    private void appendBody(ByteBuf bytes) {
        int size = bytes.readableBytes();
        if (body.size() + size > limits.maxBodyBytes()) {
            rejectTooLarge();
            return;
        }
        try {
            bytes.readBytes(body, size);
        } catch (IOException e) {
            throw new IllegalStateException("cannot append to the body buffer", e);
        }
    }

    private void completeRequest() {
        ServerExchange exchange = new ServerExchange(this, channel, head, body.toByteArray(), null);
        head = null;
        body = new ByteArrayOutputStream(0);
        continuePending = false;
        enqueue(exchange);
    }

    private void enqueue(ServerExchange exchange) {
        pipelined.add(exchange);
        if (pipelined.size() > limits.maxPipelined()) {
            channel.config().setAutoRead(false);
        }
        handleNext();
    }

    private void handleNext() {
        if (current != null || !channel.isActive()) {
            return;
        }
        current = pipelined.poll();
        if (pipelined.size() <= limits.maxPipelined() && !channel.config().isAutoRead()) {
            channel.config().setAutoRead(true);
        }
        if (current == null) {
            sendContinue();
            return;
        }
        if (current.rejection().isPresent()) {
            current.rejection().get().send(current);
            return;
        }
        try {
            frontEnd.handle(current);
        } catch (RuntimeException e) {
            frontEnd.logHandlerFailure(e);
            ErrorBody.of(
                            500,
                            "internal_error",
                            "the router failed to handle the request",
                            "report the error with the router log")
                    .send(current);
        }
    }

    /** Sends the interim response, but only after the responses of earlier requests. */
    private void sendContinue() {
        if (continuePending && current == null && pipelined.isEmpty()) {
            continuePending = false;
            ChannelUtils.send(channel, new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void rejectMalformed(HttpObject message, Throwable cause) {
        if (head == null) {
            head = message instanceof HttpRequest request
                    ? request
                    : new io.netty.handler.codec.http.DefaultHttpRequest(
                            HttpVersion.HTTP_1_1, io.netty.handler.codec.http.HttpMethod.GET, "/");
        }
        if (cause instanceof TooLongHttpLineException) {
            reject(ErrorBody.of(414, "too_large", "the request line is too long", "send a shorter path or query"));
        } else if (cause instanceof TooLongHttpHeaderException) {
            reject(ErrorBody.of(431, "too_large", "the headers are too large", "send fewer or shorter headers"));
        } else {
            reject(ErrorBody.of(400, "bad_request", "the request is not valid HTTP", "send a valid HTTP/1.1 request"));
        }
    }

    private void rejectTooLarge() {
        String message = "the body is larger than " + limits.maxBodyBytes() + " bytes";
        reject(ErrorBody.of(413, "too_large", message, "send a smaller request"));
    }

    /** Responds with an error after the earlier requests; further input on the connection is ignored. */
    private void reject(ErrorBody error) {
        rejected = true;
        continuePending = false;
        ServerExchange exchange = new ServerExchange(this, channel, head, new byte[0], error);
        head = null;
        enqueue(exchange);
    }

    private void checkTimeouts() {
        long elapsed = System.nanoTime() - phaseStartNanos;
        if (head != null && elapsed > limits.requestTimeout().toNanos()) {
            reject(ErrorBody.of(
                    408,
                    "bad_request",
                    "the request was not complete before the timeout",
                    "send the request without pauses"));
        } else if (current == null
                && head == null
                && elapsed > limits.idleTimeout().toNanos()) {
            ChannelUtils.close(channel);
        }
    }
}
