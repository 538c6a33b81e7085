package org.coltsfootquay.decision.latency;

/**
 * Line through recent observations of the time to the first event over prefilled tokens; not thread-safe.
 *
 * <p>Older observations count exponentially less. While the observed token counts are too similar to determine the
 * slope, both parameters are scaled together.
 */
final class LatencyLine {

    /** Constant part before any observation, milliseconds: a few decoding steps and the network. */
    static final double DEFAULT_CONSTANT_MILLIS = 60;

    /** Slope before any observation, milliseconds per token: 50 tokens per millisecond. */
    static final double DEFAULT_MILLIS_PER_TOKEN = 0.02;

    /** Factor by which the weight of earlier observations falls with each new one: the last 200 count most. */
    private static final double FORGETTING_FACTOR = 0.995;

    /** Token counts of the pseudo-observations that make up the initial line. */
    private static final double[] INITIAL_TOKENS = {500, 8000};

    /** Weight of each pseudo-observation, in observations. */
    private static final double INITIAL_WEIGHT = 3;

    /** Minimum standard deviation of the token counts, relative to their mean, that determines the slope. */
    private static final double MIN_RELATIVE_DEVIATION = 0.25;

    /** Bounds of the slope: from 1000 down to 5 tokens per millisecond. */
    private static final double MIN_MILLIS_PER_TOKEN = 0.001;

    private static final double MAX_MILLIS_PER_TOKEN = 0.2;

    /** Minimum constant part, milliseconds; a network round trip and one decoding step. */
    private static final double MIN_CONSTANT_MILLIS = 2;

    /**
     * An observation counts as at most this multiple of its estimate, and as at least the inverse. The line follows
     * the usual latency, not the long delays behind prompts of other routers that were not known yet.
     */
    private static final double MAX_DEVIATION = 1.5;

    private double constantMillis = DEFAULT_CONSTANT_MILLIS;
    private double millisPerToken = DEFAULT_MILLIS_PER_TOKEN;
    private double sumWeight;
    private double sumTokens;
    private double sumMillis;
    private double sumTokensSquared;
    private double sumTokensMillis;

    LatencyLine() {
        for (double tokens : INITIAL_TOKENS) {
            accumulate(tokens, millis(tokens), INITIAL_WEIGHT);
        }
    }

    double constantMillis() {
        return constantMillis;
    }

    double millisPerToken() {
        return millisPerToken;
    }

    double millis(double tokens) {
        return constantMillis + tokens * millisPerToken;
    }

    /** Adds an observation. */
    void add(double tokens, double millis) {
        double estimate = millis(tokens);
        double bounded = Math.max(estimate / MAX_DEVIATION, Math.min(estimate * MAX_DEVIATION, millis));
        sumWeight *= FORGETTING_FACTOR;
        sumTokens *= FORGETTING_FACTOR;
        sumMillis *= FORGETTING_FACTOR;
        sumTokensSquared *= FORGETTING_FACTOR;
        sumTokensMillis *= FORGETTING_FACTOR;
        accumulate(tokens, bounded, 1);
        fit();
    }

    private void accumulate(double tokens, double millis, double weight) {
        sumWeight += weight;
        sumTokens += weight * tokens;
        sumMillis += weight * millis;
        sumTokensSquared += weight * tokens * tokens;
        sumTokensMillis += weight * tokens * millis;
    }

    private void fit() {
        double meanTokens = sumTokens / sumWeight;
        double meanMillis = sumMillis / sumWeight;
        double variance = sumTokensSquared / sumWeight - meanTokens * meanTokens;
        double minDeviation = MIN_RELATIVE_DEVIATION * meanTokens;
        if (variance <= 0 || variance < minDeviation * minDeviation) {
            double scale = meanMillis / millis(meanTokens);
            setSlope(millisPerToken * scale);
        } else {
            setSlope((sumTokensMillis / sumWeight - meanTokens * meanMillis) / variance);
        }
        constantMillis = meanMillis - millisPerToken * meanTokens;
        if (constantMillis < MIN_CONSTANT_MILLIS) {
            constantMillis = MIN_CONSTANT_MILLIS;
            setSlope((meanMillis - MIN_CONSTANT_MILLIS) / Math.max(1, meanTokens));
        }
    }

    private void setSlope(double slope) {
        millisPerToken = Math.max(MIN_MILLIS_PER_TOKEN, Math.min(MAX_MILLIS_PER_TOKEN, slope));
    }
}
