package org.coltsfootquay.decision.route;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param maxHeaderBytes maximum size of request line and headers in bytes
 * @param maxBodyBytes maximum size of a request body in bytes
 * @param headerTimeout maximum time from the first byte of a request to the end of its headers
 * @param idleTimeout maximum time for which a connection stays open without a request
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Validates the values. */
    public CallerLimits {
        ArgumentUtils.requirePositive(maxHeaderBytes, "maxHeaderBytes");
        ArgumentUtils.requirePositive(maxBodyBytes, "maxBodyBytes");
        ArgumentUtils.requirePositive(headerTimeout.toNanos(), "headerTimeout");
        ArgumentUtils.requirePositive(idleTimeout.toNanos(), "idleTimeout");
    }
}
