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

/** One call on one connection; all state but the flags of the caller belongs to the connection's event loop. */
final class BackendExchange implements BackendCall {

    private final BackendRequest request;
    private final BackendHandler handler;

    private volatile boolean cancelled;
    private volatile boolean paused;
    private volatile Channel channel;

    private boolean begun;
    private boolean ended;
    private boolean informational;
    private boolean keepAlive;
    private long lastByteNanos;
    private Future<?> silenceTimer;

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
        applyReading();
    }

    @Override
    public void resume() {
        paused = false;
        applyReading();
    }

    @Override
    public void cancel() {
        cancelled = true;
        Channel current = channel;
        if (current != null) {
            current.eventLoop().execute(() -> fail(Kind.CANCELLED, "cancelled"));
        }
    }

    /** Writes the request; false when the connection remains unused and the call has failed. */
    boolean send(Channel connection) {
        channel = connection;
        if (cancelled) {
            fail(Kind.CANCELLED, "cancelled before the request was sent");
            return false;
        }
        if (!handler.maySend()) {
            fail(Kind.NOT_STARTED, "no longer allowed to start");
            return false;
        }
        begun = true;
        handler.sendStarted();
        lastByteNanos = System.nanoTime();
        scheduleSilenceCheck(request.readTimeout().toNanos());
        connection.writeAndFlush(encode()).addListener(written -> {
            if (!written.isSuccess()) {
                fail(Kind.BROKEN, "request could not be written");
            }
        });
        applyReading();
        return true;
    }

    /** Handles a part of the answer; true when the answer is complete and {@link #notifyCompleted} must follow. */
    boolean handle(HttpObject part) {
        if (ended) {
            return false;
        }
        if (part.decoderResult().isFailure()) {
            fail(Kind.MALFORMED, "answer is not valid HTTP");
            return false;
        }
        lastByteNanos = System.nanoTime();
        if (part instanceof HttpResponse response && !head(response)) {
            return false;
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

    /** Tells the handler that the answer is complete; the connection is in the pool or closed by then. */
    void notifyCompleted() {
        handler.completed();
    }

    boolean hasEnded() {
        return ended;
    }

    boolean isKeepAlive() {
        return keepAlive;
    }

    /** Fails the call unless it has ended; the connection is closed if bytes were written. */
    void fail(Kind kind, String message) {
        if (ended) {
            return;
        }
        end();
        Channel current = channel;
        if (begun && current != null) {
            current.close().addListener(closed -> {});
        }
        handler.failed(new BackendFailure(kind, begun ? Execution.MAY_HAVE_RUN : Execution.NOT_SENT, message));
    }

    private boolean head(HttpResponse response) {
        int status = response.status().code();
        informational = status >= 100 && status < 200;
        if (informational) {
            return true;
        }
        boolean bodyless = status == 204 || status == 304;
        boolean delimited =
                HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response) || bodyless;
        if (!delimited) {
            fail(Kind.MALFORMED, "answer has no length, so its end cannot be told from a broken connection");
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

    private void applyReading() {
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

    private void scheduleSilenceCheck(long delayNanos) {
        silenceTimer = channel.eventLoop().schedule(this::checkSilence, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void checkSilence() {
        if (ended) {
            return;
        }
        long limit = request.readTimeout().toNanos();
        long silent = paused ? 0 : System.nanoTime() - lastByteNanos;
        if (silent >= limit) {
            fail(Kind.SILENT, "no byte for " + request.readTimeout().toMillis() + " ms");
        } else {
            scheduleSilenceCheck(limit - silent);
        }
    }

    private void end() {
        ended = true;
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
    }
}
