package org.coltsfootquay.decision.waiting;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Schedules when refused callers return; not thread-safe.
 *
 * <p>Handles a burst whose refused callers would otherwise return together and be refused again: each is told a time
 * at which those who were told to return before have been served, at the rate at which requests are sent to servers.
 * Once all times within the limit are taken, callers are spread evenly. Callers who repeat at once are told a later
 * time than those before them.
 */
public final class ReturnSchedule {

    /** Fraction of the rate of sent requests that is left to callers who return; the rest is for new ones. */
    private static final double RETURN_SHARE = 0.5;

    /** Time constant of the rate of sent requests. */
    private static final Duration RATE_TIME_CONSTANT = Duration.ofSeconds(3);

    /** Minimum of the rate, requests per second; assumed before any request was sent. */
    private static final double MIN_RATE = 2;

    /** Smallest part of the latest time that callers are told for whom it ends before the overload. */
    private static final double MIN_LATEST_PART = 0.7;

    private static final double NANOS_PER_SECOND = 1e9;

    private final RandomGenerator random;
    private double recentlySent;
    private long decayedNanos;
    private long nextReturnNanos = Long.MIN_VALUE;

    /**
     * Creates a schedule.
     *
     * @param random source of the random part of times
     */
    public ReturnSchedule(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Records that a request was sent to a server.
     *
     * @param nowNanos current time
     */
    public void recordSent(long nowNanos) {
        decay(nowNanos);
        recentlySent++;
    }

    /**
     * Returns the time after which a refused caller should return.
     *
     * @param earliest expected end of the overload
     * @param latest longest time that the caller is willing to wait
     * @param nowNanos current time
     * @return time between both; somewhat before the latest one if that is shorter
     */
    public Duration nextReturn(Duration earliest, Duration latest, long nowNanos) {
        if (latest.compareTo(earliest) <= 0) {
            double part = MIN_LATEST_PART + (1 - MIN_LATEST_PART) * random.nextDouble();
            return Duration.ofNanos((long) (latest.toNanos() * part));
        }
        decay(nowNanos);
        double rate = Math.max(MIN_RATE, RETURN_SHARE * recentlySent / seconds(RATE_TIME_CONSTANT));
        long spacing = (long) (NANOS_PER_SECOND / rate);
        long first = nowNanos + earliest.toNanos();
        long next = nextReturnNanos == Long.MIN_VALUE || nextReturnNanos - first < 0 ? first : nextReturnNanos;
        long time = next + (long) (spacing * random.nextDouble());
        if (time - nowNanos > latest.toNanos()) {
            long range = latest.minus(earliest).toNanos();
            return earliest.plusNanos((long) (range * random.nextDouble()));
        }
        nextReturnNanos = next + spacing;
        return Duration.ofNanos(time - nowNanos);
    }

    private void decay(long nowNanos) {
        if (decayedNanos != 0) {
            recentlySent *= Math.exp(-(double) (nowNanos - decayedNanos) / RATE_TIME_CONSTANT.toNanos());
        }
        decayedNanos = nowNanos;
    }

    private static double seconds(Duration time) {
        return time.toNanos() / NANOS_PER_SECOND;
    }
}
