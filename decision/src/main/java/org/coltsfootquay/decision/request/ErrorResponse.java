package org.coltsfootquay.decision.request;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Error response that is sent to the caller.
 *
 * @param code error code
 * @param execution whether the request was executed
 * @param message description of the error
 * @param retryAfter time after which a retry may succeed; zero if a retry is pointless or may follow at once
 */
public record ErrorResponse(ErrorCode code, Execution execution, String message, Duration retryAfter) {

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a component is null
     */
    public ErrorResponse {
        ArgumentUtils.requireValue(code, "code");
        ArgumentUtils.requireValue(execution, "execution");
        ArgumentUtils.requireValue(message, "message");
        ArgumentUtils.requireValue(retryAfter, "retryAfter");
    }

    /** Whether a request that ended without a response was executed. */
    public enum Execution {
        /** No server executed any part of the request. */
        NOT_RUN,
        /** A server may have executed the request. */
        UNKNOWN;

        /**
         * Returns the name used in error responses.
         *
         * @return {@code not_run} or {@code unknown}
         */
        public String label() {
            return this == NOT_RUN ? "not_run" : "unknown";
        }
    }
}
