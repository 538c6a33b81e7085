package org.coltsfootquay.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives what happens on a server connection to the request that is in progress there. */
interface ServerResponseListener {

    /**
     * The status line and headers have arrived.
     *
     * @param response response without body
     * @param facts what the headers say
     */
    void responseStarted(HttpResponse response, ResponseMetadata facts);

    /**
     * Bytes of the body have arrived.
     *
     * @param bytes bytes, valid only during the call
     */
    void bodyReceived(ByteBuf bytes);

    /** The answer is complete. */
    void responseCompleted();

    /**
     * The answer will not be completed.
     *
     * @param cause what happened to the connection
     */
    void responseFailed(String cause);
}
