package org.coltsfootquay.standin.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/** One HTTP request and its answer. All methods must be called on the event loop of the server. */
public final class Exchange {

    private static final String JSON = "application/json";
    private static final long SECOND_ANSWER_DELAY_MILLIS = 5;

    private final Channel channel;
    private final String method;
    private final QueryStringDecoder target;
    private final io.netty.handler.codec.http.HttpHeaders headers;
    private final byte[] body;
    private final boolean keepAlive;
    private boolean answered;
    private boolean streaming;
    private Runnable closeAction = () -> {};
    private IntFunction<Optional<byte[]>> secondAnswer = status -> Optional.empty();

    Exchange(Channel channel, FullHttpRequest request) {
        this.channel = channel;
        this.method = request.method().name();
        this.target = new QueryStringDecoder(request.uri());
        this.headers = request.headers();
        this.body = ByteBufUtil.getBytes(request.content());
        this.keepAlive = HttpUtil.isKeepAlive(request);
    }

    /**
     * Returns the method of the request.
     *
     * @return method in upper case
     */
    public String method() {
        return method;
    }

    /**
     * Returns the decoded path.
     *
     * @return path without the query
     */
    public String path() {
        return target.path();
    }

    /**
     * Returns the values of a query parameter.
     *
     * @param name name of the parameter
     * @return values in order, empty when absent
     */
    public List<String> parameters(String name) {
        return target.parameters().getOrDefault(name, List.of());
    }

    /**
     * Returns a whole number from the query.
     *
     * @param name name of the parameter
     * @param fallback value when the parameter is absent or not a whole number
     * @return the number
     */
    public long number(String name, long fallback) {
        List<String> values = parameters(name);
        if (values.isEmpty()) {
            return fallback;
        }
        try {
            return Long.parseLong(values.get(0));
        } catch (NumberFormatException e) {
            return fallback;
        }
    }

    /**
     * Returns a header of the request.
     *
     * @param name name in any case
     * @return value, or empty
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Returns the fencing number of the request.
     *
     * @return number of the header {@code X-Fencing-Number}, or empty when it is absent or not a whole number
     */
    public OptionalLong fencingNumber() {
        String value = headers.get("X-Fencing-Number");
        try {
            return value == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(value));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    /**
     * Returns the body of the request.
     *
     * @return bytes, empty when there is no body
     */
    public byte[] body() {
        return body.clone();
    }

    /**
     * Returns the body of the request as JSON.
     *
     * @return the tree
     * @throws IOException if the body is not JSON
     */
    public JsonNode json() throws IOException {
        return JsonUtils.parse(body);
    }

    /**
     * Returns whether the caller is still connected.
     *
     * @return whether an answer can still reach the caller
     */
    public boolean isOpen() {
        return channel.isActive();
    }

    /**
     * Registers an action for the case that the connection ends before the next request arrives on it.
     *
     * @param action action, run on the event loop
     */
    public void onClose(Runnable action) {
        closeAction = action;
    }

    /**
     * Registers bytes that are sent some milliseconds after the answer if the connection stays open. They may come
     * between the events of the next answer.
     *
     * @param bytesByStatus returns the bytes, or empty, from the status of the answer; called once
     */
    public void followAnswer(IntFunction<Optional<byte[]>> bytesByStatus) {
        secondAnswer = bytesByStatus;
    }

    /**
     * Answers with JSON.
     *
     * @param status status code
     * @param node content
     */
    public void answer(int status, JsonNode node) {
        answer(status, JSON, JsonUtils.bytes(node));
    }

    /**
     * Answers with an error code.
     *
     * @param status status code
     * @param code value of the field {@code code}
     * @param message message that names the remedy
     */
    public void answerError(int status, String code, String message) {
        ObjectNode node = JsonUtils.object();
        node.put("code", code).put("message", message);
        answer(status, node);
    }

    /**
     * Answers without content.
     *
     * @param status status code
     */
    public void answerEmpty(int status) {
        answer(status, null, new byte[0]);
    }

    /**
     * Answers with bytes; does nothing when the request has been answered.
     *
     * @param status status code
     * @param contentType value of the header {@code Content-Type}, or null for none
     * @param content content
     */
    public void answer(int status, String contentType, byte[] content) {
        if (answered) {
            return;
        }
        answered = true;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        if (contentType != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        if (status != HttpResponseStatus.NO_CONTENT.code()) {
            HttpUtil.setContentLength(response, content.length);
        }
        if (keepAlive) {
            channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            sendSecondAnswer(status);
        } else {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Starts an answer that is a stream of server-sent events. */
    public void startEvents() {
        if (answered) {
            return;
        }
        answered = true;
        streaming = true;
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        HttpUtil.setTransferEncodingChunked(response, true);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /**
     * Sends one server-sent event.
     *
     * @param data text after {@code data: }, a single line
     */
    public void sendEvent(String data) {
        if (!streaming) {
            return;
        }
        byte[] bytes = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Ends a stream of server-sent events. */
    public void endEvents() {
        if (!streaming) {
            return;
        }
        streaming = false;
        channel.writeAndFlush(new DefaultLastHttpContent())
                .addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
        if (keepAlive) {
            sendSecondAnswer(HttpResponseStatus.OK.code());
        }
    }

    /** Breaks the connection without an answer or in the middle of one. */
    public void abort() {
        answered = true;
        streaming = false;
        channel.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    private void sendSecondAnswer(int status) {
        secondAnswer.apply(status).ifPresent(bytes -> {
            var unused = channel.eventLoop()
                    .schedule(() -> sendRaw(bytes), SECOND_ANSWER_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    private void sendRaw(byte[] bytes) {
        ChannelHandlerContext codec = channel.pipeline().context(HttpServerCodec.class);
        if (codec != null) {
            codec.writeAndFlush(Unpooled.wrappedBuffer(bytes)).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }
    }

    void connectionEnded() {
        closeAction.run();
    }
}
