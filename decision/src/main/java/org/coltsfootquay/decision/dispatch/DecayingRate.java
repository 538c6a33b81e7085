package org.coltsfootquay.decision.dispatch;

/** Rate of something per second, as an exponentially decaying sum; each update takes constant time. */
final class DecayingRate {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double timeConstantSeconds;
    private double sum;
    private long updatedNanos;
    private boolean used;

    DecayingRate(double timeConstantSeconds) {
        this.timeConstantSeconds = timeConstantSeconds;
    }

    void add(double amount, long nowNanos) {
        decay(nowNanos);
        sum += amount;
    }

    double perSecond(long nowNanos) {
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
