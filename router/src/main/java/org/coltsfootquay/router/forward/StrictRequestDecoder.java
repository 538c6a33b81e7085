package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decoder that rejects requests whose length is stated twice.
 *
 * <p>A request with both a body length and chunked encoding may hide a second request from one of two readers.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_CHUNK_BYTES = 65536;

    StrictRequestDecoder(int maxHeaderBytes) {
        super(MAX_LINE_BYTES, maxHeaderBytes, MAX_CHUNK_BYTES);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a body length and chunked encoding; send one of them");
    }
}
