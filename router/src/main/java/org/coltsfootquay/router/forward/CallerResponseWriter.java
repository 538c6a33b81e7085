package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** The caller's side of one request. */
interface CallerResponseWriter {

    /**
     * Sends a whole answer.
     *
     * @param status status
     * @param headers headers without a body length
     * @param body body
     */
    void sendResponse(HttpResponseStatus status, HttpHeaders headers, byte[] body);

    /**
     * Begins an answer whose length is not known.
     *
     * @param status status
     * @param headers headers without a body length
     */
    void startResponse(HttpResponseStatus status, HttpHeaders headers);

    /**
     * Sends a part of an answer that was begun.
     *
     * @param bytes bytes
     * @return false if the caller should be given time before more is sent
     */
    boolean writeBody(byte[] bytes);

    /** Ends an answer that was begun. */
    void endResponse();

    /** Closes the caller's connection, so that the answer does not look complete. */
    void abort();
}
