package org.coltsfootquay.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Listener for the response to the request that is in progress on a server connection. */
interface ServerResponseListener {

    /**
     * Called when bytes are received before the status line and headers are complete.
     *
     * @param bytes bytes received since the request was sent
     */
    void headBytesReceived(int bytes);

    /**
     * Called when the status line and headers are received.
     *
     * @param response response without body
     * @param metadata metadata from the headers
     */
    void responseStarted(HttpResponse response, ResponseMetadata metadata);

    /**
     * Called when a part of the body is received.
     *
     * @param bytes part of the body, valid only during the call
     */
    void bodyReceived(ByteBuf bytes);

    /** Called when the response is complete. */
    void responseCompleted();

    /**
     * Called when the response cannot be completed.
     *
     * @param cause failure code, for example {@code closed} or {@code reset}
     */
    void responseFailed(String cause);
}
