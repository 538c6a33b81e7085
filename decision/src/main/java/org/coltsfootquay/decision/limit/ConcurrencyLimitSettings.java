package org.coltsfootquay.decision.limit;

/**
 * Fixed figures of the concurrency limit of a server.
 *
 * @param increasePerSecond slots added per second while the limit is fully used and the latency is within the target
 * @param decreaseFactor factor applied to the limit when the latency exceeds the target or requests fail
 * @param decreaseHoldOffMillis time after a cut during which no further cut is made, because its effect is not yet measured
 * @param defaultTokenIntervalMillis token interval target for classes that have none
 * @param applicationLatencyRatio ratio of response time to the smallest response time above which the limit is cut
 * @param coldLatencyRatio ratio of latency to its usual value above which a server counts as cold
 * @param recentStartMillis uptime below which a server counts as recently started
 * @param maxLimit largest limit
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
     * Returns the figures of the design page.
     *
     * @return settings
     */
    public static ConcurrencyLimitSettings defaults() {
        return new ConcurrencyLimitSettings(1, 0.7, 2_000, 57, 2, 4, 60_000, 1_024);
    }
}
