package org.coltsfootquay.decision.fairness;

/** Rate of something per second, as an exponentially decaying sum; each update takes constant time. */
public final class DecayingRate {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double timeConstantSeconds;
    private double sum;
    private long updatedNanos;
    private boolean used;

    /**
     * Creates a rate of zero.
     *
     * @param timeConstantSeconds time after which a sample counts 1/e of its amount
     */
    public DecayingRate(double timeConstantSeconds) {
        this.timeConstantSeconds = timeConstantSeconds;
    }

    /**
     * Adds an amount.
     *
     * @param amount amount
     * @param nowNanos current time
     */
    public void add(double amount, long nowNanos) {
        decay(nowNanos);
        sum += amount;
    }

    /**
     * Returns the present rate.
     *
     * @param nowNanos current time
     * @return amount a second
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
