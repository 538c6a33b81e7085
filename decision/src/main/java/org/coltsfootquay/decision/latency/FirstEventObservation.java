package org.coltsfootquay.decision.latency;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Observed time to the first event of one request.
 *
 * @param server engine that served the request
 * @param waitingTokens prompt tokens of other requests that waited at the engine when the request was sent
 * @param prefillTokens prompt tokens of the request that the engine had to prefill
 * @param latency time from the dispatch of the request to its first event
 */
public record FirstEventObservation(ServerName server, long waitingTokens, long prefillTokens, Duration latency) {

    /** Validates the values. */
    public FirstEventObservation {
        ArgumentUtils.requireValue(server, "server");
        ArgumentUtils.requireNonNegative(waitingTokens, "waitingTokens");
        ArgumentUtils.requireNonNegative(prefillTokens, "prefillTokens");
        ArgumentUtils.requireValue(latency, "latency");
    }
}
