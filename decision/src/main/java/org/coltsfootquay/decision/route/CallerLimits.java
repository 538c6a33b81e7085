package org.coltsfootquay.decision.route;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Bounds on what callers may send and how long they may take.
 *
 * @param maxHeaderBytes largest size of request line and headers, bytes
 * @param maxBodyBytes largest size of a body, bytes
 * @param headerTimeout longest time from the first byte of a request to the end of its headers
 * @param idleTimeout longest time a connection stays open without a request
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Checks the values. */
    public CallerLimits {
        ArgumentUtils.requirePositive(maxHeaderBytes, "maxHeaderBytes");
        ArgumentUtils.requirePositive(maxBodyBytes, "maxBodyBytes");
        ArgumentUtils.requirePositive(headerTimeout.toNanos(), "headerTimeout");
        ArgumentUtils.requirePositive(idleTimeout.toNanos(), "idleTimeout");
    }
}
