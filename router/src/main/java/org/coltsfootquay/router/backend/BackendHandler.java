package org.coltsfootquay.router.backend;

import java.util.Map;

/**
 * Receives the response to one call; called on the event loop of the connection, so implementations must not block.
 *
 * <p>Exactly one of {@link #completed} and {@link #failed} is called, and no other method after it.
 */
public interface BackendHandler {

    /**
     * Returns whether the request may still be sent; called immediately before the first byte is written.
     *
     * @return false to fail the call without writing a byte
     */
    default boolean maySend() {
        return true;
    }

    /** Called before the first byte is written; from then on, bytes of the request may have been sent. */
    default void sendStarted() {}

    /**
     * Called when the status and the headers of the response have arrived.
     *
     * @param status HTTP status
     * @param headers headers by lower-case name; of a repeated header, only the last value
     */
    void headersReceived(int status, Map<String, String> headers);

    /**
     * Called for each part of the response body that arrives.
     *
     * @param bytes bytes, owned by the handler
     */
    void bodyPartReceived(byte[] bytes);

    /** Called when the complete response has arrived. */
    void completed();

    /**
     * Called when the call has failed.
     *
     * @param failure failure
     */
    void failed(BackendFailure failure);
}
