package org.coltsfootquay.decision.fairness;

/** Rate per second, computed from an exponentially decaying sum; each update takes constant time. */
public final class DecayingRate {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double timeConstantSeconds;
    private double sum;
    private long updatedNanos;
    private boolean used;

    /**
     * Creates a rate that is initially zero.
     *
     * @param timeConstantSeconds time after which the contribution of a sample has decayed to 1/e
     */
    public DecayingRate(double timeConstantSeconds) {
        this.timeConstantSeconds = timeConstantSeconds;
    }

    /**
     * Adds a sample.
     *
     * @param amount amount of the sample
     * @param nowNanos current time
     */
    public void add(double amount, long nowNanos) {
        decay(nowNanos);
        sum += amount;
    }

    /**
     * Returns the current rate.
     *
     * @param nowNanos current time
     * @return amount per second
     */
    public double perSecond(long nowNanos) {
        decay(nowNanos);
        return sum / timeConstantSeconds;
    }

    private void decay(long nowNanos) {
        if (used && nowNanos > updatedNanos) {
            sum *= Math.exp(-(nowNanos - updatedNanos) / NANOS_PER_SECOND / timeConstantSeconds);
        }
        if (!used || nowNanos > updatedNanos) {
            updatedNanos = nowNanos;
        }
        used = true;
    }
}
