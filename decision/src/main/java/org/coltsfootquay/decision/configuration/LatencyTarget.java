package org.coltsfootquay.decision.configuration;

import java.time.Duration;
import java.util.Optional;

/**
 * Target of a class of work; at least one part is present.
 *
 * @param firstTokenWithin time from the request's arrival to the first token or byte of the answer
 * @param betweenTokens time between two tokens
 * @param finishedWithin time from the request's arrival to the end of the answer
 */
public record LatencyTarget(
        Optional<Duration> firstTokenWithin, Optional<Duration> betweenTokens, Optional<Duration> finishedWithin) {

    private static final Duration DEFAULT_START = Duration.ofSeconds(10);

    /**
     * Returns the time within which the request should start on a server.
     *
     * @return first-token time if present, else the finish time, else 10 s
     */
    public Duration startWithin() {
        return firstTokenWithin.or(() -> finishedWithin).orElse(DEFAULT_START);
    }

    /**
     * Returns the time between two tokens.
     *
     * @return milliseconds; 0 without such a target
     */
    public int betweenTokensMillis() {
        return (int) betweenTokens.map(Duration::toMillis).orElse(0L).longValue();
    }
}
