package org.coltsfootquay.decision.ownership;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Settings of the ownership controller.
 *
 * @param checkPeriod time between two evaluations
 * @param lookahead time by which a reduction of shares is published before it is due
 * @param maxClaimJitter longest random delay of a claim after the loss of a holder
 * @param claimRankDelay additional delay for each router that is preferred to the claimant
 * @param maxConcurrentWrites most claims and handovers in flight
 * @param grantTimeout time after which a grant that was not used has lapsed
 * @param dwellTime time that a preferred owner has been a member, and that a server stayed with its owner, before a
 *     handover
 * @param maxOutageReportAge longest age of a report that the whole region is without the store
 * @param retryDelay time before an unresolved write is repeated
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
     * Checks the parts.
     *
     * @throws IllegalArgumentException if a part is not greater than zero
     */
    public OwnershipSettings {
        ArgumentUtils.requirePositive(checkPeriod.toNanos(), "check period");
        ArgumentUtils.requirePositive(maxConcurrentWrites, "writes at a time");
        ArgumentUtils.requireNonNegative(maxClaimJitter.toNanos(), "claim jitter");
        ArgumentUtils.requirePositive(maxOutageReportAge.toNanos(), "age of outage reports");
        ArgumentUtils.requirePositive(retryDelay.toNanos(), "retry delay");
    }

    /**
     * Returns the settings of the design.
     *
     * <p>The dwell time of 10 s exceeds a lease, so that a router that fails right after its start receives nothing.
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
