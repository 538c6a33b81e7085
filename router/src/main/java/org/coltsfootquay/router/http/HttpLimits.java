package org.coltsfootquay.router.http;

import java.time.Duration;

/**
 * Bounds of the front end.
 *
 * @param maxLineBytes largest request line
 * @param maxHeaderBytes largest sum of the headers
 * @param maxBodyBytes largest body
 * @param maxConnections connections at a time
 * @param maxPipelined requests that may wait on one connection behind the one in progress
 * @param requestTimeout time within which a request must have arrived whole
 * @param idleTimeout time after which a connection without a request is closed
 */
public record HttpLimits(
        int maxLineBytes,
        int maxHeaderBytes,
        int maxBodyBytes,
        int maxConnections,
        int maxPipelined,
        Duration requestTimeout,
        Duration idleTimeout) {

    /**
     * Returns the bounds of normal operation.
     *
     * @return limits
     */
    public static HttpLimits standard() {
        return new HttpLimits(4 * 1024, 16 * 1024, 1 << 20, 10_000, 8, Duration.ofSeconds(30), Duration.ofSeconds(75));
    }
}
