package org.coltsfootquay.decision.shutdown;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Settings of the graceful shutdown.
 *
 * @param addressCacheTime time for which callers may cache router addresses
 * @param pollPeriod time until the other routers have read that this router is leaving
 * @param handoverTimeout time after the accepting phase after which the shutdown stops waiting for handovers that are
 *     impossible because the store is unreachable; the servers then become free when the lease of this router expires
 * @param checkPeriod interval between checks
 */
public record ShutdownSettings(
        Duration addressCacheTime, Duration pollPeriod, Duration handoverTimeout, Duration checkPeriod) {

    /**
     * Validates the durations.
     *
     * @throws IllegalArgumentException if the check period is not greater than zero or another one is negative
     */
    public ShutdownSettings {
        ArgumentUtils.requireNonNegative(addressCacheTime.toNanos(), "address cache time");
        ArgumentUtils.requireNonNegative(pollPeriod.toNanos(), "poll period");
        ArgumentUtils.requireNonNegative(handoverTimeout.toNanos(), "handover timeout");
        ArgumentUtils.requirePositive(checkPeriod.toNanos(), "check period");
    }

    /**
     * Returns the default settings: addresses are cached for 30 s and rows are polled every second.
     *
     * @return settings
     */
    public static ShutdownSettings standard() {
        return new ShutdownSettings(
                Duration.ofSeconds(30), Duration.ofMillis(1_100), Duration.ofSeconds(30), Duration.ofMillis(100));
    }
}
