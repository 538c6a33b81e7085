package org.coltsfootquay.standin.engine;

import org.coltsfootquay.standin.settings.RangeCheck;

/**
 * Settings of an engine stand-in.
 *
 * @param knee number of streams up to which the token interval stays constant
 * @param capacity number of streams above which the token interval grows with the square of the load
 * @param collapseAt number of streams at which the engine falls over
 * @param collapseMillis time for which the engine is slow after it fell over, in milliseconds
 * @param tokenIntervalMillis token interval up to the knee, in milliseconds
 * @param growthPerStream growth of the token interval for each stream above the knee, as a part of the interval
 * @param prefillTokensPerSecond input tokens a second; prompts are prefilled one after another
 * @param firstTokenMillis constant part of the time to first token, in milliseconds
 * @param cacheBlocks number of blocks of 1,024 bytes that the prefix cache holds
 * @param cacheEventLagMillis time after which a cache event is published, in milliseconds
 * @param cacheEventGapEvery each n-th cache event is never published; 0 for no gaps
 * @param loadLagMillis age of the load report, in milliseconds
 * @param coldMillis time for which the engine is cold after a start, in milliseconds; 0 starts warm
 * @param coldBearable number of requests in flight that the engine can bear right after a start
 * @param coldGrowth number by which {@code coldBearable} grows with each request completed while cold
 * @param coldSlowdown factor on all times while cold
 * @param coldFails whether a request beyond {@code coldBearable} fails together with all others in flight (500)
 *     instead of being answered with 503
 * @param holdMillis time for which a stream without a caller is held for a resume, in milliseconds
 * @param checksFencing whether old fencing numbers are refused
 */
public record EngineSettings(
        int knee,
        int capacity,
        int collapseAt,
        long collapseMillis,
        double tokenIntervalMillis,
        double growthPerStream,
        int prefillTokensPerSecond,
        double firstTokenMillis,
        int cacheBlocks,
        long cacheEventLagMillis,
        int cacheEventGapEvery,
        long loadLagMillis,
        long coldMillis,
        int coldBearable,
        int coldGrowth,
        double coldSlowdown,
        boolean coldFails,
        long holdMillis,
        boolean checksFencing) {

    private static final int MAX_STREAMS = 100_000;
    private static final long MAX_MILLIS = 3_600_000;

    /** Checks the ranges. */
    public EngineSettings {
        new RangeCheck()
                .range("knee", knee, 1, MAX_STREAMS)
                .range("capacity", capacity, knee, MAX_STREAMS)
                .range("collapseAt", collapseAt, capacity + 1.0, MAX_STREAMS)
                .range("collapseMillis", collapseMillis, 0, MAX_MILLIS)
                .range("tokenIntervalMillis", tokenIntervalMillis, 1, MAX_MILLIS)
                .range("growthPerStream", growthPerStream, 0, 10)
                .range("prefillTokensPerSecond", prefillTokensPerSecond, 1, Integer.MAX_VALUE)
                .range("firstTokenMillis", firstTokenMillis, 0, MAX_MILLIS)
                .range("cacheBlocks", cacheBlocks, 0, 10_000_000)
                .range("cacheEventLagMillis", cacheEventLagMillis, 0, MAX_MILLIS)
                .range("cacheEventGapEvery", cacheEventGapEvery, 0, Integer.MAX_VALUE)
                .range("loadLagMillis", loadLagMillis, 0, MAX_MILLIS)
                .range("coldMillis", coldMillis, 0, MAX_MILLIS)
                .range("coldBearable", coldBearable, 1, MAX_STREAMS)
                .range("coldGrowth", coldGrowth, 0, MAX_STREAMS)
                .range("coldSlowdown", coldSlowdown, 1, 1_000)
                .range("holdMillis", holdMillis, 0, MAX_MILLIS)
                .throwIfAny();
    }

    /**
     * Returns settings near the target figures: 53 streams at 50 ms between tokens, cold for 30 s after a start.
     *
     * @return defaults
     */
    public static EngineSettings defaults() {
        return new EngineSettings(
                48, 64, 160, 5_000, 50, 0.01, 50_000, 30, 4_096, 500, 50, 1_000, 30_000, 2, 1, 3, false, 10_000, false);
    }

    /**
     * Returns settings that are warm at once and ten times as fast, for tests.
     *
     * @return settings
     */
    public static EngineSettings fast() {
        return new EngineSettings(
                16, 24, 64, 500, 5, 0.05, 500_000, 3, 256, 50, 50, 100, 0, 2, 1, 3, false, 1_000, false);
    }

    /**
     * Returns a copy with another cold start.
     *
     * @param millis time for which the engine is cold, in milliseconds
     * @param bearable number of requests in flight that it can bear right after a start
     * @return the copy
     */
    public EngineSettings withCold(long millis, int bearable) {
        return new EngineSettings(
                knee,
                capacity,
                collapseAt,
                collapseMillis,
                tokenIntervalMillis,
                growthPerStream,
                prefillTokensPerSecond,
                firstTokenMillis,
                cacheBlocks,
                cacheEventLagMillis,
                cacheEventGapEvery,
                loadLagMillis,
                millis,
                bearable,
                coldGrowth,
                coldSlowdown,
                coldFails,
                holdMillis,
                checksFencing);
    }

    /**
     * Returns a copy that fails when it is given too much while cold, or refuses.
     *
     * @param value whether it fails
     * @return the copy
     */
    public EngineSettings withColdFails(boolean value) {
        return new EngineSettings(
                knee,
                capacity,
                collapseAt,
                collapseMillis,
                tokenIntervalMillis,
                growthPerStream,
                prefillTokensPerSecond,
                firstTokenMillis,
                cacheBlocks,
                cacheEventLagMillis,
                cacheEventGapEvery,
                loadLagMillis,
                coldMillis,
                coldBearable,
                coldGrowth,
                coldSlowdown,
                value,
                holdMillis,
                checksFencing);
    }

    /**
     * Returns a copy that checks fencing numbers or not.
     *
     * @param value whether old fencing numbers are refused
     * @return the copy
     */
    public EngineSettings withChecksFencing(boolean value) {
        return new EngineSettings(
                knee,
                capacity,
                collapseAt,
                collapseMillis,
                tokenIntervalMillis,
                growthPerStream,
                prefillTokensPerSecond,
                firstTokenMillis,
                cacheBlocks,
                cacheEventLagMillis,
                cacheEventGapEvery,
                loadLagMillis,
                coldMillis,
                coldBearable,
                coldGrowth,
                coldSlowdown,
                coldFails,
                holdMillis,
                value);
    }
}
