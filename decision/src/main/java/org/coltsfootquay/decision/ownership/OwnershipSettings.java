package org.coltsfootquay.decision.ownership;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Settings of the ownership controller.
 *
 * @param checkPeriod interval between evaluations
 * @param lookahead lead time with which a reduction of shares is published
 * @param maxClaimJitter maximum random delay of a claim after its holder was lost
 * @param claimRankDelay additional delay for each router ranked above the claimant
 * @param maxConcurrentWrites maximum number of claims and handovers in flight
 * @param grantTimeout time after which an unused grant expires
 * @param dwellTime minimum time that the preferred owner must have been a member, and that the server must have stayed
 *     with its current owner, before a handover
 * @param maxOutageReportAge maximum age of a report that no router of the region reaches the store
 * @param retryDelay delay before a write with an unknown outcome is retried
 */
public record OwnershipSettings(
        Duration checkPeriod,
        Duration lookahead,
        Duration maxClaimJitter,
        Duration claimRankDelay,
        int maxConcurrentWrites,
        Duration grantTimeout,
        Duration dwellTime,
        Duration maxOutageReportAge,
        Duration retryDelay) {

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if a duration or the number of writes is out of range
     */
    public OwnershipSettings {
        ArgumentUtils.requirePositive(checkPeriod.toNanos(), "check period");
        ArgumentUtils.requirePositive(maxConcurrentWrites, "concurrent writes");
        ArgumentUtils.requireNonNegative(maxClaimJitter.toNanos(), "claim jitter");
        ArgumentUtils.requirePositive(maxOutageReportAge.toNanos(), "outage report age");
        ArgumentUtils.requirePositive(retryDelay.toNanos(), "retry delay");
    }

    /**
     * Returns the default settings.
     *
     * <p>The dwell time of 10 s exceeds the lease time, so that a router that fails right after its start is given no
     * servers.
     *
     * @return settings
     */
    public static OwnershipSettings standard() {
        return new OwnershipSettings(
                Duration.ofMillis(100),
                Duration.ofMillis(300),
                Duration.ofSeconds(2),
                Duration.ofSeconds(3),
                4,
                Duration.ofMillis(500),
                Duration.ofSeconds(10),
                Duration.ofSeconds(8),
                Duration.ofMillis(500));
    }
}
