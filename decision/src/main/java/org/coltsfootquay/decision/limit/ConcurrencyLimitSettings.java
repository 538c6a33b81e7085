package org.coltsfootquay.decision.limit;

/**
 * Parameters of the adaptive concurrency limit of a server.
 *
 * @param increasePerSecond slots added per second while the limit is fully used and latency is within the target
 * @param decreaseFactor smallest factor by which one decrease multiplies the limit, when latency exceeds its target or
 *     requests fail
 * @param decreaseHoldOffMillis time after a decrease in which the limit is not decreased again, because the effect
 *     is not yet measured
 * @param defaultTokenIntervalMillis token interval target of classes without one
 * @param applicationLatencyRatio ratio of response time to minimum response time above which the limit is decreased
 * @param coldLatencyRatio ratio of latency to its usual value above which a server is treated as cold
 * @param recentStartMillis uptime below which a server is treated as recently started
 * @param maxLimit upper bound of the limit
 */
public record ConcurrencyLimitSettings(
        double increasePerSecond,
        double decreaseFactor,
        long decreaseHoldOffMillis,
        int defaultTokenIntervalMillis,
        double applicationLatencyRatio,
        double coldLatencyRatio,
        long recentStartMillis,
        int maxLimit) {

    /**
     * Returns the default settings, as given in the design documentation.
     *
     * @return settings
     */
    public static ConcurrencyLimitSettings standard() {
        return new ConcurrencyLimitSettings(1, 0.7, 2_000, 57, 2, 4, 60_000, 1_024);
    }
}
