package org.coltsfootquay.router.backend;

import java.util.Map;

/**
 * Receiver of the answer to one call; called on the event loop of the connection, must not block.
 *
 * <p>Exactly one of {@link #completed} and {@link #failed} is called, last.
 */
public interface BackendHandler {

    /**
     * Decides, immediately before the first byte is written, whether the request may still be sent.
     *
     * @return false to end the call without a byte written
     */
    default boolean maySend() {
        return true;
    }

    /** From now on bytes of the request may have been written. */
    default void sendStarted() {}

    /**
     * The status and the headers arrived.
     *
     * @param status HTTP status
     * @param headers headers with names in lower case; the last value of a repeated name
     */
    void headersReceived(int status, Map<String, String> headers);

    /**
     * A part of the body arrived.
     *
     * @param bytes bytes, owned by the receiver
     */
    void bodyPartReceived(byte[] bytes);

    /** The whole answer arrived. */
    void completed();

    /**
     * The call failed.
     *
     * @param failure failure
     */
    void failed(BackendFailure failure);
}
