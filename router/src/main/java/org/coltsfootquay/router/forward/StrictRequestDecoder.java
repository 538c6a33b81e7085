package org.coltsfootquay.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * HTTP request decoder that rejects requests which another parser may read differently.
 *
 * <p>Such a request permits request smuggling: two parsers that disagree on where it ends, or on its target, do not see
 * the same requests. It also occurs without intent, if a caller gives up in the middle of a head and sends its next
 * request on the same connection. In addition to the rules of Netty, this decoder rejects folded lines, request lines
 * with other separators or versions than those of HTTP/1, transfer codings other than chunked, more than one host, a
 * method that consists of two, and a request line at the end of a header before the host.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_CHUNK_BYTES = 65536;

    private static final Pattern REQUEST_LINE = Pattern.compile("[^ \\t]+ [^ \\t]+ HTTP/1\\.[0-9]");
    private static final String VERSION_PREFIX = " HTTP/1.";
    private static final List<String> METHODS =
            List.of("GET", "HEAD", "POST", "PUT", "DELETE", "CONNECT", "OPTIONS", "TRACE", "PATCH");

    private boolean readingHead = true;
    private boolean requestLineRead;
    private boolean rejected;

    StrictRequestDecoder(int maxHeaderBytes) {
        super(MAX_LINE_BYTES, maxHeaderBytes, MAX_CHUNK_BYTES);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (rejected) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        if (readingHead) {
            String fault = findFaultInLines(buffer);
            if (!fault.isEmpty()) {
                rejected = true;
                buffer.skipBytes(buffer.readableBytes());
                HttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
                reject(request, fault);
                out.add(request);
                return;
            }
        }
        int decodedBefore = out.size();
        super.decode(context, buffer, out);
        for (Object part : out.subList(decodedBefore, out.size())) {
            if (part instanceof HttpRequest request) {
                readingHead = false;
                requestLineRead = false;
                String fault = request.decoderResult().isFailure() ? "" : findFault(request);
                if (!fault.isEmpty()) {
                    rejected = true;
                    reject(request, fault);
                }
            }
            if (part instanceof LastHttpContent) {
                readingHead = true;
            }
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        requestLineRead = true;
        return super.createMessage(initialLine);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "request has both Content-Length and chunked Transfer-Encoding; send only one of them");
    }

    private static void reject(HttpRequest request, String fault) {
        request.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(fault)));
    }

    /** Checks the lines of a head that are in the buffer; returns the fault, empty if there is none. */
    private String findFaultInLines(ByteBuf buffer) {
        boolean requestLineExpected = !requestLineRead;
        int start = buffer.readerIndex();
        while (start < buffer.writerIndex()) {
            byte first = buffer.getByte(start);
            if (first == ' ' || first == '\t') {
                return "a line of the head begins with white space; send each header on one line";
            }
            int end = buffer.indexOf(start, buffer.writerIndex(), (byte) '\n');
            if (end < 0) {
                return "";
            }
            int length = end > start && buffer.getByte(end - 1) == '\r' ? end - 1 - start : end - start;
            if (requestLineExpected && length > 0) {
                requestLineExpected = false;
                String line = buffer.toString(start, length, StandardCharsets.ISO_8859_1);
                if (length <= MAX_LINE_BYTES && !REQUEST_LINE.matcher(line).matches()) {
                    return "the request line is not of the form METHOD TARGET HTTP/1.1";
                }
            } else if (!requestLineExpected && length == 0) {
                return "";
            }
            start = end + 1;
        }
        return "";
    }

    private static String findFault(HttpRequest request) {
        if (isJoinedMethod(request.method().name())) {
            return "the method " + request.method().name() + " consists of two; send each request completely";
        }
        List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!codings.isEmpty()
                && (codings.size() > 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0)))) {
            return "the transfer coding is not chunked; send the body chunked or with Content-Length";
        }
        if (request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
            return "request has more than one Host header; send exactly one";
        }
        for (Map.Entry<String, String> header : request.headers()) {
            if (HttpHeaderNames.HOST.contentEqualsIgnoreCase(header.getKey())) {
                break;
            }
            if (endsWithRequestLine(header.getValue())) {
                return "header " + header.getKey() + " ends with a request line; send each request completely";
            }
        }
        return "";
    }

    /** Returns whether a method consists of the beginning of a standard method and a second one. */
    private static boolean isJoinedMethod(String name) {
        for (String second : METHODS) {
            String first = name.endsWith(second) ? name.substring(0, name.length() - second.length()) : "";
            if (!first.isEmpty() && METHODS.stream().anyMatch(method -> method.startsWith(first))) {
                return true;
            }
        }
        return false;
    }

    private static boolean endsWithRequestLine(String value) {
        int version = value.lastIndexOf(VERSION_PREFIX);
        if (version < 0 || version + VERSION_PREFIX.length() + 1 != value.length()) {
            return false;
        }
        int target = value.lastIndexOf(' ', version - 1) + 1;
        return target > 1
                && Character.isUpperCase(value.charAt(target - 2))
                && (value.startsWith("/", target)
                        || value.substring(target, version).contains("://"));
    }
}
