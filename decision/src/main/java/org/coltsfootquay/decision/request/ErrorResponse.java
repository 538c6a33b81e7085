package org.coltsfootquay.decision.request;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Refusal or error as the caller sees it.
 *
 * @param code code
 * @param execution whether the request ran
 * @param message what happened
 * @param retryAfter time after which a retry has a chance; zero if a retry is pointless or may come at once
 */
public record ErrorResponse(ErrorCode code, Execution execution, String message, Duration retryAfter) {

    /**
     * Checks the parts.
     *
     * @throws IllegalArgumentException if a part is null
     */
    public ErrorResponse {
        ArgumentUtils.requireValue(code, "code");
        ArgumentUtils.requireValue(execution, "execution");
        ArgumentUtils.requireValue(message, "message");
        ArgumentUtils.requireValue(retryAfter, "retryAfter");
    }

    /** What is known about the execution of a request that ended without an answer. */
    public enum Execution {
        /** No server executed any part of the request. */
        NOT_RUN,
        /** A server may have executed the request. */
        UNKNOWN;

        /**
         * Returns the name as it stands in messages.
         *
         * @return {@code not_run} or {@code unknown}
         */
        public String label() {
            return this == NOT_RUN ? "not_run" : "unknown";
        }
    }
}
