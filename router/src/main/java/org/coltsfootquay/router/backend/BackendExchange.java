package org.coltsfootquay.router.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.router.backend.BackendFailure.Execution;
import org.coltsfootquay.router.backend.BackendFailure.Kind;

/** One call on one connection; all state except the volatile fields is confined to the connection's event loop. */
final class BackendExchange implements BackendCall {

    private final BackendRequest request;
    private final BackendHandler handler;

    private volatile boolean cancelled;
    private volatile boolean paused;
    private volatile Channel channel;

    private boolean sendStarted;
    private boolean ended;
    private boolean informational;
    private boolean keepAlive;
    private long lastByteNanos;
    private Future<?> readTimer;

    BackendExchange(BackendRequest request, BackendHandler handler) {
        this.request = request;
        this.handler = handler;
    }

    BackendRequest request() {
        return request;
    }

    @Override
    public void pause() {
        paused = true;
        applyAutoRead();
    }

    @Override
    public void resume() {
        paused = false;
        applyAutoRead();
    }

    @Override
    public void cancel() {
        cancelled = true;
        Channel current = channel;
        if (current != null) {
            current.eventLoop().execute(() -> fail(Kind.CANCELLED, "cancelled"));
        }
    }

    /** Writes the request; returns false if the call failed and the connection remains unused. */
    boolean send(Channel connection) {
        channel = connection;
        if (cancelled) {
            fail(Kind.CANCELLED, "cancelled before the request was sent");
            return false;
        }
        if (!handler.maySend()) {
            fail(Kind.NOT_STARTED, "request is no longer permitted to start");
            return false;
        }
        sendStarted = true;
        handler.sendStarted();
        lastByteNanos = System.nanoTime();
        scheduleReadTimeoutCheck(request.readTimeout().toNanos());
        connection.writeAndFlush(encode()).addListener(written -> {
            if (!written.isSuccess()) {
                fail(Kind.BROKEN, "cannot write the request");
            }
        });
        applyAutoRead();
        return true;
    }

    /** Handles a part of the response; returns true if it is complete and {@link #notifyCompleted} must be called. */
    boolean handle(HttpObject part) {
        if (ended) {
            return false;
        }
        if (part.decoderResult().isFailure()) {
            fail(Kind.MALFORMED, "response is not valid HTTP");
            return false;
        }
        lastByteNanos = System.nanoTime();
        if (part instanceof HttpResponse response && !handleHeaders(response)) {
            return false;
        }
        if (part instanceof HttpResponse && !informational && request.method().equals("HEAD")) {
            // The decoder is not told that no body follows, so the connection is not reused.
            keepAlive = false;
            end();
            return true;
        }
        if (part instanceof HttpContent content && !informational) {
            ByteBuf bytes = content.content();
            if (bytes.isReadable()) {
                handler.bodyPartReceived(ByteBufUtil.getBytes(bytes));
            }
            if (part instanceof LastHttpContent && !ended) {
                end();
                return true;
            }
        }
        return false;
    }

    /** Notifies the handler of the complete response; called after the connection is pooled or closed. */
    void notifyCompleted() {
        handler.completed();
    }

    boolean hasEnded() {
        return ended;
    }

    boolean isKeepAlive() {
        return keepAlive;
    }

    /** Fails the call unless it has ended; closes the connection if bytes may have been written. */
    void fail(Kind kind, String message) {
        if (ended) {
            return;
        }
        end();
        Channel current = channel;
        if (sendStarted && current != null) {
            current.close().addListener(closed -> {});
        }
        handler.failed(new BackendFailure(kind, sendStarted ? Execution.MAY_HAVE_RUN : Execution.NOT_SENT, message));
    }

    private boolean handleHeaders(HttpResponse response) {
        int status = response.status().code();
        informational = status >= 100 && status < 200;
        if (informational) {
            return true;
        }
        boolean withoutBody = status == 204 || status == 304;
        boolean delimited =
                HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response) || withoutBody;
        if (!delimited) {
            fail(
                    Kind.MALFORMED,
                    "response has neither a length nor chunked encoding, so truncation cannot be detected");
            return false;
        }
        keepAlive = HttpUtil.isKeepAlive(response);
        Map<String, String> headers = new HashMap<>();
        for (Map.Entry<String, String> header : response.headers()) {
            headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue());
        }
        handler.headersReceived(status, headers);
        return !ended;
    }

    private FullHttpRequest encode() {
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.path(),
                Unpooled.wrappedBuffer(request.body()));
        request.headers().forEach((name, value) -> message.headers().set(name, value));
        message.headers().set(HttpHeaderNames.HOST, request.address());
        if (request.body().length > 0 || !request.method().equals("GET")) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return message;
    }

    private void applyAutoRead() {
        Channel current = channel;
        if (current != null) {
            current.eventLoop().execute(() -> {
                if (!ended) {
                    lastByteNanos = System.nanoTime();
                    current.config().setAutoRead(!paused);
                }
            });
        }
    }

    private void scheduleReadTimeoutCheck(long delayNanos) {
        readTimer = channel.eventLoop().schedule(this::checkReadTimeout, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void checkReadTimeout() {
        if (ended) {
            return;
        }
        long timeoutNanos = request.readTimeout().toNanos();
        long idleNanos = paused ? 0 : System.nanoTime() - lastByteNanos;
        if (idleNanos >= timeoutNanos) {
            fail(Kind.SILENT, "no byte received for " + request.readTimeout().toMillis() + " ms");
        } else {
            scheduleReadTimeoutCheck(timeoutNanos - idleNanos);
        }
    }

    private void end() {
        ended = true;
        if (readTimer != null) {
            readTimer.cancel(false);
        }
    }
}
