package org.coltsfootquay.decision.hedge;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Quantile of the last times to an answer, for one kind of request; not thread-safe.
 *
 * <p>A request that was given up counts with the time that had passed. As it is given up after the quantile only, this
 * lower bound has the rank of the unknown time, and the quantile does not fall because slow answers are cut off.
 */
public final class LatencyQuantile {

    /** Number of answers from which the quantile is known. */
    public static final int MIN_ANSWERS = 40;

    /** Number of answers that count; enough to tell the quantile 0.99 from the maximum. */
    static final int MAX_ANSWERS = 256;

    /** Answers between two calculations; keeps the sort off most requests. */
    private static final int CALCULATION_INTERVAL = 8;

    private final double quantile;
    private final long[] latest = new long[MAX_ANSWERS];
    private int count;
    private int next;
    private int uncalculated;
    private long valueNanos;

    /**
     * Creates a quantile without answers.
     *
     * @param quantile number between 0 and 1
     */
    public LatencyQuantile(double quantile) {
        if (!(quantile > 0 && quantile < 1)) {
            throw new IllegalArgumentException("quantile " + quantile + " is not between 0 and 1");
        }
        this.quantile = quantile;
    }

    /**
     * Records the time to an answer, or the time after which a request was given up.
     *
     * @param time time since the request was sent
     */
    public void record(Duration time) {
        latest[next] = ArgumentUtils.requireValue(time, "time").toNanos();
        next = (next + 1) % MAX_ANSWERS;
        count = Math.min(MAX_ANSWERS, count + 1);
        uncalculated++;
        if (count >= MIN_ANSWERS && (valueNanos == 0 || uncalculated >= CALCULATION_INTERVAL)) {
            calculate();
        }
    }

    /**
     * Returns the quantile.
     *
     * @return time, or empty before {@link #MIN_ANSWERS} answers
     */
    public Optional<Duration> value() {
        return count < MIN_ANSWERS ? Optional.empty() : Optional.of(Duration.ofNanos(valueNanos));
    }

    private void calculate() {
        uncalculated = 0;
        long[] sorted = Arrays.copyOf(latest, count);
        Arrays.sort(sorted);
        valueNanos = sorted[Math.min(count - 1, (int) Math.ceil(quantile * count) - 1)];
    }
}
