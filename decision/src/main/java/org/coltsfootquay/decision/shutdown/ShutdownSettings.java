package org.coltsfootquay.decision.shutdown;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Settings of a planned stop.
 *
 * @param addressCacheTime time for which callers may cache an answer with addresses
 * @param pollPeriod time until other routers have read that this router leaves
 * @param handoverTimeout time after the accepting phase after which servers that could not be handed over, because the
 *     store is out of reach, are left to their expiry
 * @param checkPeriod time between two checks
 */
public record ShutdownSettings(
        Duration addressCacheTime, Duration pollPeriod, Duration handoverTimeout, Duration checkPeriod) {

    /**
     * Checks the durations.
     *
     * @throws IllegalArgumentException if the check period is not greater than zero or another one is negative
     */
    public ShutdownSettings {
        ArgumentUtils.requireNonNegative(addressCacheTime.toNanos(), "address cache time");
        ArgumentUtils.requireNonNegative(pollPeriod.toNanos(), "poll period");
        ArgumentUtils.requireNonNegative(handoverTimeout.toNanos(), "handover patience");
        ArgumentUtils.requirePositive(checkPeriod.toNanos(), "check period");
    }

    /**
     * Returns the settings of the design: addresses are cached for 30 s and rows polled each second.
     *
     * @return settings
     */
    public static ShutdownSettings standard() {
        return new ShutdownSettings(
                Duration.ofSeconds(30), Duration.ofMillis(1_100), Duration.ofSeconds(30), Duration.ofMillis(100));
    }
}
