package org.coltsfootquay.router.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.router.channel.ChannelUtils;

/** One request on a connection of the front end; its state belongs to the connection's event loop. */
final class ServerExchange implements HttpExchange {

    /** Headers that describe one connection and are set by the front end itself. */
    private static final Set<String> CONNECTION_HEADERS =
            Set.of("connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "trailer", "te");

    private final FrontEndHandler connection;
    private final Channel channel;
    private final String method;
    private final String target;
    private final HttpHeaders headers;
    private final byte[] body;
    private final ErrorBody rejection;
    private final boolean chunkedAllowed;
    private boolean keepAlive;
    private boolean started;
    private boolean ended;
    private Runnable writableTask = () -> {};
    private Runnable disconnectTask = () -> {};

    /** Creates an exchange; a rejection is answered without asking the handler, and closes the connection. */
    ServerExchange(
            FrontEndHandler connection,
            Channel channel,
            io.netty.handler.codec.http.HttpRequest head,
            byte[] body,
            ErrorBody rejection) {
        this.connection = connection;
        this.channel = channel;
        this.method = head.method().name();
        this.target = head.uri();
        this.headers = head.headers();
        this.body = body;
        this.rejection = rejection;
        this.chunkedAllowed = head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        this.keepAlive = rejection == null && HttpUtil.isKeepAlive(head);
    }

    Optional<ErrorBody> rejection() {
        return Optional.ofNullable(rejection);
    }

    @Override
    public String method() {
        return method;
    }

    @Override
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    @Override
    public String target() {
        return target;
    }

    @Override
    public Optional<String> parameter(String name) {
        try {
            List<String> values = new QueryStringDecoder(target).parameters().get(name);
            return values == null || values.isEmpty() ? Optional.empty() : Optional.of(values.get(0));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    @Override
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    @Override
    public Map<String, String> headers() {
        Map<String, String> all = new LinkedHashMap<>();
        for (Map.Entry<String, String> header : headers) {
            all.merge(header.getKey().toLowerCase(Locale.ROOT), header.getValue(), (a, b) -> a + ", " + b);
        }
        return all;
    }

    @Override
    public byte[] body() {
        return body;
    }

    @Override
    public EventLoop eventLoop() {
        return channel.eventLoop();
    }

    @Override
    public void respond(int status, Map<String, String> responseHeaders, byte[] responseBody) {
        runOnEventLoop(() -> {
            if (started) {
                return;
            }
            started = true;
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(responseBody));
            setHeaders(response, responseHeaders);
            HttpUtil.setContentLength(response, responseBody.length);
            finish(response);
        });
    }

    @Override
    public void start(int status, Map<String, String> responseHeaders) {
        runOnEventLoop(() -> {
            if (started) {
                return;
            }
            started = true;
            if (!chunkedAllowed) {
                keepAlive = false;
            }
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            setHeaders(response, responseHeaders);
            if (chunkedAllowed) {
                HttpUtil.setTransferEncodingChunked(response, true);
            }
            ChannelUtils.send(channel, response);
        });
    }

    @Override
    public void write(byte[] bytes) {
        runOnEventLoop(() -> {
            if (started && bytes.length > 0) {
                ChannelUtils.send(channel, new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
            }
        });
    }

    @Override
    public void end() {
        runOnEventLoop(() -> {
            if (started) {
                finish(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        });
    }

    @Override
    public void abort() {
        runOnEventLoop(() -> {
            ended = true;
            ChannelUtils.close(channel);
        });
    }

    @Override
    public void disconnect() {
        runOnEventLoop(() -> ChannelUtils.close(channel));
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    @Override
    public void onWritable(Runnable task) {
        this.writableTask = task;
    }

    @Override
    public void onDisconnect(Runnable task) {
        this.disconnectTask = task;
    }

    void fireWritable() {
        if (!ended) {
            writableTask.run();
        }
    }

    void fireDisconnect() {
        if (!ended) {
            ended = true;
            disconnectTask.run();
        }
    }

    private void runOnEventLoop(Runnable task) {
        if (channel.eventLoop().inEventLoop()) {
            runUnlessEnded(task);
        } else {
            channel.eventLoop().execute(() -> runUnlessEnded(task));
        }
    }

    private void runUnlessEnded(Runnable task) {
        if (!ended) {
            task.run();
        }
    }

    private void setHeaders(HttpResponse response, Map<String, String> responseHeaders) {
        responseHeaders.forEach((name, value) -> {
            if (!CONNECTION_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                response.headers().set(name, value);
            }
        });
        keepAlive = keepAlive && connection.keepAliveAllowed();
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (!chunkedAllowed) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }

    private void finish(Object last) {
        ended = true;
        if (keepAlive) {
            ChannelUtils.send(channel, last);
        } else {
            channel.writeAndFlush(last).addListener(written -> ChannelUtils.close(channel));
        }
        connection.exchangeEnded(this, keepAlive);
    }
}
