package org.coltsfootquay.router.peer;

import java.time.Duration;

/**
 * Limits of the transport between routers.
 *
 * @param connectTimeout time limit for establishing a connection
 * @param handshakeTimeout time limit for the exchange of {@code Hello} and for the peer's reply to {@code Goodbye}
 * @param idleTimeout time without a received message after which a connection not in use is closed
 * @param probeAfter time without a received message after which a connection in use is probed
 * @param receiveTimeout time without a received message after which a connection in use is considered lost
 * @param maxQueuedBytes maximum number of bytes queued for one peer
 */
public record PeerLimits(
        Duration connectTimeout,
        Duration handshakeTimeout,
        Duration idleTimeout,
        Duration probeAfter,
        Duration receiveTimeout,
        int maxQueuedBytes) {

    /** Maximum frame size in bytes, excluding the length field. */
    public static final int MAX_FRAME_BYTES = 64 * 1024;

    /** Version of the protocol between routers. */
    public static final int PROTOCOL_VERSION = 1;

    /**
     * Returns the limits for normal operation.
     *
     * @return default limits
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
