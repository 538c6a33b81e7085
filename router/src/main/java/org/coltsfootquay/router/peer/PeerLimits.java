package org.coltsfootquay.router.peer;

import java.time.Duration;

/**
 * Limits of the transport between routers.
 *
 * @param connectTimeout time within which a connection must be made
 * @param handshakeTimeout time within which the exchange of {@code Hello} must end
 * @param idleTimeout time without a message after which a connection that is not in use is closed
 * @param probeAfter time without a received message after which a connection in use is probed
 * @param receiveTimeout time without a received message after which a connection in use counts as lost
 * @param maxQueuedBytes bytes that may wait to be written to one peer
 */
public record PeerLimits(
        Duration connectTimeout,
        Duration handshakeTimeout,
        Duration idleTimeout,
        Duration probeAfter,
        Duration receiveTimeout,
        int maxQueuedBytes) {

    /** Largest frame in bytes, without its length field. */
    public static final int MAX_FRAME_BYTES = 64 * 1024;

    /** Version of the protocol between routers. */
    public static final int PROTOCOL_VERSION = 1;

    /**
     * Returns the limits of normal operation.
     *
     * @return limits
     */
    public static PeerLimits defaults() {
        return new PeerLimits(
                Duration.ofSeconds(2),
                Duration.ofSeconds(2),
                Duration.ofSeconds(60),
                Duration.ofSeconds(2),
                Duration.ofSeconds(6),
                1024 * 1024);
    }
}
