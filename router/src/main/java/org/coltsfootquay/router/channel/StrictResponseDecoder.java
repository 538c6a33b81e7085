package org.coltsfootquay.router.channel;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.regex.Pattern;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * HTTP response decoder that rejects input that cannot come from a single well-formed response.
 *
 * <p>If a server stops within the head of a response and sends another response on the same connection, a lenient
 * decoder reads both as one: the status of the first with the headers and the body of the second. A response always
 * starts with its status line, so a status line that is not at the start of a head reveals this.
 *
 * <p>After a malformed head, the decoder emits a response whose {@link HttpObject#decoderResult()} is a failure; after
 * a malformed chunk or trailer, it emits such a {@link LastHttpContent}. The cause is a {@link CorruptedFrameException}
 * whose message names the defect without received bytes. All further input is discarded, since the start of the next
 * response is unknown; close the connection.
 *
 * <p>Responses with status 101 are rejected, as this decoder serves clients that request no other protocol.
 */
public final class StrictResponseDecoder extends HttpResponseDecoder {

    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS = Pattern.compile("[1-5]\\d\\d");

    /** Beginning of a status line. */
    private static final String PREFIX = "HTTP/1.";

    /** First byte of the status line. */
    private static final byte FIRST_BYTE = 'H';

    /** Part of a response that the next byte belongs to. */
    private enum Part {
        NONE,
        HEAD,
        BODY,
        TRAILERS,
        REJECTED
    }

    private Part part = Part.NONE;
    private StatusLineScanner scanner;
    private boolean headRequest;

    /**
     * Creates a decoder.
     *
     * @param maxLineBytes maximum length of the status line, in bytes
     * @param maxHeaderBytes maximum length of all header lines of a response, in bytes
     * @param maxChunkBytes maximum length of the content of one emitted part of a body, in bytes
     * @throws IllegalArgumentException if a maximum is not greater than zero
     */
    public StrictResponseDecoder(int maxLineBytes, int maxHeaderBytes, int maxChunkBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength((int) ArgumentUtils.requirePositive(maxLineBytes, "maxLineBytes"))
                .setMaxHeaderSize((int) ArgumentUtils.requirePositive(maxHeaderBytes, "maxHeaderBytes"))
                .setMaxChunkSize((int) ArgumentUtils.requirePositive(maxChunkBytes, "maxChunkBytes"))
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true));
    }

    /**
     * Sets what the next responses answer; a response to a HEAD request has no body, whatever its headers state.
     *
     * @param headRequest whether they answer a HEAD request
     */
    public void setHeadRequest(boolean headRequest) {
        this.headRequest = headRequest;
    }

    /**
     * Returns whether input was received that belongs to no complete response. A connection must not be reused then.
     *
     * <p>Also valid while a handler receives the {@link LastHttpContent} of a response.
     *
     * @return false if all input was decoded into complete responses; true within a response and after a rejected one
     */
    public boolean withinMessage() {
        return part != Part.NONE || actualReadableBytes() > 0;
    }

    /**
     * Returns the size of the input that is not decoded yet.
     *
     * @return number of bytes
     */
    public int undecodedBytes() {
        return actualReadableBytes();
    }

    /**
     * Returns whether there is input that is not decoded yet and cannot be the beginning of a response.
     *
     * @return true if such input follows the last decoded object
     */
    public boolean undecodedIsNoResponse() {
        ByteBuf undecoded = internalBuffer();
        int length = Math.min(actualReadableBytes(), PREFIX.length());
        for (int i = 0; i < length; i++) {
            if (undecoded.getByte(undecoded.readerIndex() + i) != PREFIX.charAt(i)) {
                return true;
            }
        }
        return false;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (part == Part.REJECTED) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (part == Part.NONE && in.isReadable()) {
            part = Part.HEAD;
            scanner = null;
            if (in.getByte(in.readerIndex()) != FIRST_BYTE) {
                in.skipBytes(in.readableBytes());
                reject(out, out.size(), "bytes before the status line");
                return;
            }
        }
        Part partBefore = part;
        int start = in.readerIndex();
        int decoded = out.size();
        super.decode(ctx, in, out);
        if (rejectInvalid(out, decoded)) {
            return;
        }
        // A call that reads a head or trailers reads nothing else, and only complete lines.
        if ((partBefore == Part.HEAD || part == Part.TRAILERS) && in.readerIndex() > start) {
            String defect = findLineDefect(in.slice(start, in.readerIndex() - start));
            if (defect != null) {
                in.skipBytes(in.readableBytes());
                reject(out, decoded, defect);
                return;
            }
        }
        advance(out, decoded);
    }

    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (part == Part.REJECTED) {
            in.skipBytes(in.readableBytes());
            return;
        }
        int decoded = out.size();
        super.decodeLast(ctx, in, out);
        if (part != Part.REJECTED && !rejectInvalid(out, decoded)) {
            advance(out, decoded);
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequest || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!VERSION.matcher(initialLine[0]).matches()) {
            throw new CorruptedFrameException("version other than HTTP/1.0 and HTTP/1.1");
        }
        if (!STATUS.matcher(initialLine[1]).matches()) {
            throw new CorruptedFrameException("status that is not between 100 and 599");
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new CorruptedFrameException("white space in a header name");
        }
        AsciiString name = super.splitHeaderName(line, start, length);
        if (part == Part.BODY) {
            part = Part.TRAILERS;
            scanner = new StatusLineScanner();
        }
        if (part == Part.TRAILERS
                && (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)
                        || HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(name))) {
            throw new CorruptedFrameException("body length in a trailer");
        }
        return name;
    }

    /** Finds a defect in complete lines of a head or trailers that the decoder of the superclass accepts. */
    private String findLineDefect(ByteBuf lines) {
        ByteBuf following = lines;
        if (scanner == null) {
            scanner = new StatusLineScanner();
            int statusLineBytes = Math.min(lines.readableBytes(), StatusLineScanner.PATTERN_BYTES);
            if (!new StatusLineScanner().scan(lines.slice(0, statusLineBytes))) {
                return "malformed status line";
            }
            following = lines.slice(1, lines.readableBytes() - 1);
        }
        if (scanner.scan(following)) {
            return "status line within a head or trailers";
        }
        int lineStart = 0;
        while (lineStart < lines.writerIndex()) {
            byte first = lines.getByte(lineStart);
            if (first == ' ' || first == '\t') {
                return "folded header line";
            }
            int lineEnd = lines.indexOf(lineStart, lines.writerIndex(), (byte) '\n');
            lineStart = lineEnd < 0 ? lines.writerIndex() : lineEnd + 1;
        }
        return null;
    }

    private void advance(List<Object> out, int from) {
        for (int index = from; index < out.size(); index++) {
            if (out.get(index) instanceof HttpResponse response) {
                String defect = findHeadDefect(response);
                if (defect != null) {
                    reject(out, index, defect);
                    return;
                }
                part = Part.BODY;
            }
            if (out.get(index) instanceof LastHttpContent) {
                part = Part.NONE;
            }
        }
    }

    private static String findHeadDefect(HttpResponse response) {
        if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            return "switch to a protocol that was not requested";
        }
        List<String> codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunkedOnly = codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
        return codings.isEmpty() || chunkedOnly ? null : "transfer coding other than chunked";
    }

    private boolean rejectInvalid(List<Object> out, int from) {
        for (int index = from; index < out.size(); index++) {
            if (out.get(index) instanceof HttpObject object
                    && object.decoderResult().isFailure()) {
                reject(out, index, describe(object.decoderResult().cause()));
                return true;
            }
        }
        return false;
    }

    /** Describes an error without its message, which may contain received bytes. */
    private String describe(Throwable cause) {
        if (cause.getClass() == CorruptedFrameException.class) {
            return cause.getMessage();
        }
        String malformedPart = part == Part.HEAD ? "head" : part == Part.BODY ? "body" : "trailers";
        String defect = cause instanceof IllegalArgumentException
                ? "invalid line"
                : cause.getClass().getSimpleName();
        return "malformed " + malformedPart + ": " + defect;
    }

    /** Replaces the objects from an index by one that reports a failure. */
    private void reject(List<Object> out, int from, String defect) {
        List<Object> rejected = out.subList(from, out.size());
        rejected.forEach(ReferenceCountUtil::release);
        rejected.clear();
        HttpObject failure =
                part == Part.HEAD ? createInvalidMessage() : new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
        failure.setDecoderResult(DecoderResult.failure(new CorruptedFrameException(defect)));
        out.add(failure);
        part = Part.REJECTED;
    }
}
