package org.coltsfootquay.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import org.coltsfootquay.router.channel.RequestHeadUtils;

/**
 * HTTP request decoder that rejects requests which another parser may read differently.
 *
 * <p>Such a request permits request smuggling: two parsers that disagree on where it ends, or on its target, do not see
 * the same requests. It also occurs without intent, if a caller gives up in the middle of a head and sends its next
 * request on the same connection. In addition to the rules of Netty and of {@link RequestHeadUtils}, this decoder
 * rejects folded lines, and request lines with other separators or versions than those of HTTP/1.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_CHUNK_BYTES = 65536;

    private static final Pattern REQUEST_LINE = Pattern.compile("[^ \\t]+ [^ \\t]+ HTTP/1\\.[0-9]");

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
                String fault = request.decoderResult().isFailure() ? "" : RequestHeadUtils.findFault(request);
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
}
