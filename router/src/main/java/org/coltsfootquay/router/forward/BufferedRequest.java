package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.coltsfootquay.decision.memory.HeldBytes;

/**
 * Completely received request of a caller.
 *
 * @param method HTTP method
 * @param uri path and query as received
 * @param headers headers
 * @param body body without transfer encoding; not copied, since it is forwarded unchanged
 * @param held account of the body
 */
@SuppressWarnings("ArrayRecordComponent")
record BufferedRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body, HeldBytes held) {}
