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

/**
 * One connection of the front end: assembles requests within bounds and handles them one after another, in order.
 *
 * <p>The connection is read while a request is in progress, so that its end is noticed, until as many further requests
 * wait as the limits allow.
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
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (rejected) {
            return;
        }
        DecoderResult result = part.decoderResult();
        if (result.isFailure()) {
            rejectMalformed(part, result.cause());
            return;
        }
        if (part instanceof HttpRequest request) {
            beginRequest(request);
        }
        if (part instanceof HttpContent content && !rejected) {
            appendBody(content.content());
            if (part instanceof LastHttpContent && !rejected) {
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

    /** Closes the connection now if nothing is in progress; a request in progress ends first. */
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
        // A handler that answers at once would otherwise recurse for each request that waits.
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
            reject(ErrorBody.of(417, "bad_request", "unknown expectation", "send Expect: 100-continue or none"));
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
            throw new IllegalStateException("cannot append to memory", e);
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
            ErrorBody.of(500, "internal_error", "the router failed to handle the request", "report the request id")
                    .send(current);
        }
    }

    /** The interim answer must not overtake the answers of earlier requests. */
    private void sendContinue() {
        if (continuePending && current == null && pipelined.isEmpty()) {
            continuePending = false;
            ChannelUtils.send(channel, new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void rejectMalformed(HttpObject part, Throwable cause) {
        if (head == null) {
            head = part instanceof HttpRequest request
                    ? request
                    : new io.netty.handler.codec.http.DefaultHttpRequest(
                            HttpVersion.HTTP_1_1, io.netty.handler.codec.http.HttpMethod.GET, "/");
        }
        if (cause instanceof TooLongHttpLineException) {
            reject(ErrorBody.of(414, "too_large", "the request line is too long", "send a shorter path"));
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

    /** Answers with an error after the requests before; nothing more is read from the connection. */
    private void reject(ErrorBody error) {
        rejected = true;
        continuePending = false;
        ServerExchange exchange = new ServerExchange(this, channel, head, new byte[0], error);
        head = null;
        enqueue(exchange);
    }

    private void checkTimeouts() {
        long waited = System.nanoTime() - phaseStartNanos;
        if (head != null && waited > limits.requestTimeout().toNanos()) {
            reject(ErrorBody.of(408, "bad_request", "the request did not arrive in time", "send it without pauses"));
        } else if (current == null
                && head == null
                && waited > limits.idleTimeout().toNanos()) {
            ChannelUtils.close(channel);
        }
    }
}
