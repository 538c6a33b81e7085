package org.coltsfootquay.standin.engine;

/** Times of a warm engine by its load; all times grow by the same factor while the engine is cold or slow. */
final class EngineTiming {

    private final EngineSettings settings;

    EngineTiming(EngineSettings settings) {
        this.settings = settings;
    }

    /** Returns the time between two steps of the batch: constant up to the knee, then linear, then cubic. */
    double tokenIntervalMillis(int streams) {
        double interval = settings.tokenIntervalMillis();
        if (streams > settings.knee()) {
            interval *= 1 + settings.growthPerStream() * (streams - settings.knee());
        }
        if (streams > settings.capacity()) {
            double excess = (double) streams / settings.capacity();
            interval *= excess * excess;
        }
        return interval;
    }

    /** Returns the time that the prefill of a prompt occupies the engine. */
    double prefillMillis(int tokens, int cachedTokens) {
        return Math.max(1, tokens - cachedTokens) * 1e3 / settings.prefillTokensPerSecond();
    }
}
