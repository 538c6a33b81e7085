package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A whole request of a caller as it was received.
 *
 * @param method method
 * @param uri path and query, unchanged
 * @param headers headers
 * @param body body without transfer encoding; not copied, since it is passed on unchanged
 */
@SuppressWarnings("ArrayRecordComponent")
record BufferedRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {}
