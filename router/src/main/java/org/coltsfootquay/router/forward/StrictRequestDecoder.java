package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * HTTP request decoder that rejects requests with both Content-Length and chunked transfer encoding.
 *
 * <p>Such a request permits request smuggling: two parsers that apply different lengths disagree on where it ends, so
 * that one of them does not see a second request hidden in it.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_CHUNK_BYTES = 65536;

    StrictRequestDecoder(int maxHeaderBytes) {
        super(MAX_LINE_BYTES, maxHeaderBytes, MAX_CHUNK_BYTES);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "request has both Content-Length and chunked Transfer-Encoding; send only one of them");
    }
}
