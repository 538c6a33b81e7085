package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.coltsfootquay.decision.memory.HeldBytes;

/** Writer for the response to one request of a caller. */
interface CallerResponseWriter {

    /**
     * Sends a complete response.
     *
     * @param status status
     * @param headers headers without a body length
     * @param body body
     */
    void sendResponse(HttpResponseStatus status, HttpHeaders headers, byte[] body);

    /**
     * Sends a complete response whose body counts toward a budget until it is written.
     *
     * @param status status
     * @param headers headers without a body length
     * @param body body
     * @param held account of the body, which is released when it is written
     */
    void sendResponse(HttpResponseStatus status, HttpHeaders headers, byte[] body, HeldBytes held);

    /**
     * Starts a response of unknown length.
     *
     * @param status status
     * @param headers headers without a body length
     */
    void startResponse(HttpResponseStatus status, HttpHeaders headers);

    /**
     * Sends a part of the body of a started response.
     *
     * @param bytes part of the body
     * @return false if the send buffer is full and the sender should pause
     */
    boolean writeBody(byte[] bytes);

    /** Ends a started response. */
    void endResponse();

    /** Closes the caller's connection, so that the response does not appear complete. */
    void abort();
}
