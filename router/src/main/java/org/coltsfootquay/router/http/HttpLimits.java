package org.coltsfootquay.router.http;

import java.time.Duration;

/**
 * Limits of the HTTP front end.
 *
 * @param maxLineBytes maximum size of the request line
 * @param maxHeaderBytes maximum total size of the headers
 * @param maxBodyBytes maximum size of the body
 * @param maxConnections maximum number of open connections
 * @param maxPipelined maximum number of requests that wait on one connection behind the request in progress
 * @param requestTimeout time within which a request must arrive completely
 * @param idleTimeout time after which an idle connection is closed
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
     * Returns the limits for normal operation.
     *
     * @return limits
     */
    public static HttpLimits defaults() {
        return new HttpLimits(4 * 1024, 16 * 1024, 1 << 20, 10_000, 8, Duration.ofSeconds(30), Duration.ofSeconds(75));
    }
}
