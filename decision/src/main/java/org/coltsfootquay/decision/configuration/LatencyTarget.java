package org.coltsfootquay.decision.configuration;

import java.time.Duration;
import java.util.Optional;

/**
 * Latency target of a class of work; at least one component is present.
 *
 * @param firstTokenWithin maximum time from the request's arrival to the first token or byte of the response
 * @param betweenTokens maximum time between two tokens
 * @param finishedWithin maximum time from the request's arrival to the end of the response
 */
public record LatencyTarget(
        Optional<Duration> firstTokenWithin, Optional<Duration> betweenTokens, Optional<Duration> finishedWithin) {

    private static final Duration DEFAULT_START_WITHIN = Duration.ofSeconds(10);

    /**
     * Returns the time within which the request should start on a server.
     *
     * @return first-token time if present, otherwise the finish time, otherwise 10 s
     */
    public Duration startWithin() {
        return firstTokenWithin.or(() -> finishedWithin).orElse(DEFAULT_START_WITHIN);
    }

    /**
     * Returns the target for the time between two tokens in milliseconds.
     *
     * @return milliseconds, or 0 without such a target
     */
    public int betweenTokensMillis() {
        return (int) betweenTokens.map(Duration::toMillis).orElse(0L).longValue();
    }
}
