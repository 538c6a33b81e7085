package org.coltsfootquay.decision.freshness;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Estimate of the store's clock, from the times that its replies state; not thread-safe.
 *
 * <p>The estimate is an upper bound as long as the local clock runs, so that an age derived from it is never too small.
 * The local clock of a VM may stop while the VM is suspended; ages are then too small until the next reply.
 */
public final class StoreClock {

    /** Inaccuracy of the estimate after a correction, at most the time that a reply takes. */
    private static final long TOLERANCE_MILLIS = 20;

    private static final long NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();

    private boolean known;
    private long offsetNanos;

    /** Creates a clock without an estimate. */
    public StoreClock() {
        // The first reply supplies the estimate.
    }

    /**
     * Records a reply of the store.
     *
     * @param sentNanos local time at which the call was made
     * @param receivedNanos local time at which the reply was read
     * @param storeMillis time of the store's clock that the reply states, milliseconds
     */
    public void recordReply(long sentNanos, long receivedNanos, long storeMillis) {
        long storeNanos = storeMillis * NANOS_PER_MILLI;
        // The store made the reply between both local times, within the millisecond that it states.
        long maxOffsetNanos = storeNanos + NANOS_PER_MILLI - sentNanos;
        long minOffsetNanos = storeNanos - receivedNanos;
        offsetNanos = known ? Math.max(minOffsetNanos, Math.min(offsetNanos, maxOffsetNanos)) : maxOffsetNanos;
        known = true;
    }

    /**
     * Returns whether a reply states an earlier time than the estimate, so that times before it cannot be compared. A
     * reply that was delayed by more than the inaccuracy counts as earlier, too.
     *
     * @param receivedNanos local time at which the reply was read
     * @param storeMillis time of the store's clock that the reply states, milliseconds
     * @return true if the clock went back by more than the inaccuracy of the estimate
     */
    public boolean wentBack(long receivedNanos, long storeMillis) {
        OptionalLong expected = millis(receivedNanos);
        return expected.isPresent() && storeMillis + TOLERANCE_MILLIS < expected.getAsLong();
    }

    /**
     * Returns the current time of the store's clock.
     *
     * @param nowNanos local time
     * @return milliseconds, or empty before the first reply
     */
    public OptionalLong millis(long nowNanos) {
        return known ? OptionalLong.of(Math.floorDiv(nowNanos + offsetNanos, NANOS_PER_MILLI)) : OptionalLong.empty();
    }

    /**
     * Returns the time since a moment of the store's clock.
     *
     * @param storeMillis moment, milliseconds of the store's clock
     * @param nowNanos local time
     * @return time; empty before the first reply, or if the moment lies in the future, because the store's clock has
     *     restarted or the local clock has stopped since
     */
    public Optional<Duration> since(long storeMillis, long nowNanos) {
        OptionalLong now = millis(nowNanos);
        if (now.isEmpty() || storeMillis > now.getAsLong() + TOLERANCE_MILLIS) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofMillis(Math.max(0, now.getAsLong() - storeMillis)));
    }
}
